Feature: Logs and metrics

  Scenario: Text from a caller can't forge log lines or fields
    When the event "request_refused" is logged with a line break in a field
    Then the log holds one line that ends with
      """
      event=request_refused vm=entry-a1 wait_s=1.5 text="a b\nevent=stopped"
      """

  Scenario: Every event in the code and on the page is registered
    Then each event logged in the package is registered
    And the operators' page lists exactly the registered events

  Scenario: Metrics are registered and reach a statsd server
    Given a UDP socket for metrics
    When a metric is counted for the customer "a.b c"
    Then the metrics socket receives "apricotlever.requests.admitted.a_b_c:2|c"
    And each metric sent in the package is registered
    And the operators' page lists exactly the registered metrics
