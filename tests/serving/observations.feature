Feature: Metrics as text

  Scenario: Counters and quantiles have a line each
    When two calls are served and one fails with a long reason
    Then the metrics hold
      """
      apricotlever_members 3
      apricotlever_served_total{customer="clerks"} 2
      apricotlever_refused_total{reason="broken"} 1
      apricotlever_in_flight{runner="r-1"} 4
      apricotlever_whole_seconds_count{customer="clerks",kind="stream"} 2
      """

  Scenario: Histograms stay few, however many customers there are
    When calls of 500 customers are served
    Then at most 60 histograms are kept
