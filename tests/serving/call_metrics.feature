Feature: Metrics as text

  Scenario: Each counter and each quantile has a line of its own
    When two calls are served and one fails with a long reason
    Then the metrics hold
      """
      apricotlever_members 3
      apricotlever_store_calls_total 1234567
      apricotlever_served_total{customer="clerks"} 2
      apricotlever_refused_total{reason="broken"} 1
      apricotlever_in_flight{runner="r-1"} 4
      apricotlever_limit_part{customer="clerks"} 0.875
      apricotlever_whole_seconds_count{customer="clerks",kind="stream"} 2
      """

  Scenario: The number of histograms is bounded for any number of customers
    When calls of 500 customers are served
    Then at most 60 histograms are kept

  Scenario: Limits, runner calls and task restarts are included
    Given a route for idempotent calls
    And a runner that answers
    When a call is made
    And the VM's metrics are read
    Then the metrics hold
      """
      apricotlever_served_total{customer="clerks"} 1
      apricotlever_runner_calls_total{runner="runner-1"} 1
      apricotlever_runner_failures_total{runner="runner-1"} 0
      apricotlever_limit_part{customer="clerks"} 0.125
      apricotlever_cloud_calls_total 2
      apricotlever_task_restarts_total{task="watch_runners"} 1
      """
