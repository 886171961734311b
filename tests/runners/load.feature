Feature: Load of a runner

  Scenario: Own requests since a report are counted
    Then a lagged load report is corrected by any own requests since

  Scenario: A report that is believed as it stands
    Symptom: a runner gets more requests than it has slots, then none.
    Events: 8 requests are sent, then a report from before them arrives.
    Cause: the report doesn't know of the requests sent since.
    Given a runner's load with 8 own requests sent 1 second ago
    When a load report of 2 seconds ago says that it was idle
    Then its load counts 8 in flight
    But the load as reported counts 0 in flight

  Scenario: An older report that comes late is dropped
    Given a runner's load with 0 own requests sent 1 second ago
    When a load report of 1 seconds ago says that 5 were running
    And a load report of 3 seconds ago says that 9 were running
    Then its load counts 5 in flight

  Scenario: A runner that stopped reporting
    Given a runner's load with 2 own requests sent 1 second ago
    When a load report of 0 seconds ago says that 9 were running
    And no load report comes for 60 seconds
    Then its load counts 2 in flight

  Scenario: Other VMs follow the same reports
    Given a runner's load that others use 6 times as much as this VM
    When this VM sends 4 more requests there after the last load report
    Then its load counts more than 4 requests more than before
