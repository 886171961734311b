Feature: Load of a runner

  Scenario: Own requests sent since a report are counted
    Then an old load report is corrected by any own requests sent since

  Scenario: A report that does not include recent requests
    Guards against alternately overloading and idling a runner. A report
    that was made before 8 requests were sent arrives after them.
    Given a runner's load with 8 own requests sent 1 second ago
    When a load report of 2 seconds ago says that it was idle
    Then its load counts 8 in flight
    But the load as reported counts 0 in flight

  Scenario: An older report that arrives late is ignored
    Given a runner's load with 0 own requests sent 1 second ago
    When a load report of 1 seconds ago says that 5 were running
    And a load report of 3 seconds ago says that 9 were running
    Then its load counts 5 in flight

  Scenario: A runner that stopped reporting
    Given a runner's load with 2 own requests sent 1 second ago
    When a load report of 0 seconds ago says that 9 were running
    And no load report comes for 60 seconds
    Then its load counts 2 in flight

  Scenario: The requests of other VMs that use the same reports are estimated
    Given a runner to which other VMs send 6 times as much as this VM
    When this VM sends the runner 4 more requests after the last load report
    Then its load counts more than 4 requests more than before
