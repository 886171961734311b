Feature: Control of roll-outs on one VM

  Scenario: The new version gets a share of the calls before the takeover
    Given a roll-out of 20 seconds for a service of 10 old runners
    When 10 new runners appear after 4 seconds
    Then from 4 to 17 seconds 5 to 15 percent of the calls go to 2 new runners
    And after the takeover all calls go to 10 new runners

  # Guards against failures that one VM reports and the others ignore.
  Scenario: All VMs stop sending calls to a bad version
    Given a roll-out of 20 seconds for a service of 10 old runners
    And 10 new runners appear after 1 seconds
    When another VM reports 40 calls to them, half of which failed
    Then no call goes to a new runner
    And the result ROLLED_BACK is due

  # Guards against a failed version to which the other VMs still send calls.
  Scenario: The result of another VM is applied
    Given a roll-out of 20 seconds for a service of 10 old runners
    And 10 new runners appear after 1 seconds
    When another VM reports that the version is FAILED
    Then no call goes to a new runner

  # Guards against stopping old runners that still have calls in flight.
  Scenario: A roll-out is completed as soon as the old runners are drained
    Given a roll-out of 20 seconds for a service of 10 old runners
    And 10 new runners appear after 1 seconds
    When 18.8 seconds pass without a failure
    And 2 calls are in flight at old runners
    Then the result RUNNING is due
    When no call is in flight at old runners
    Then the result COMPLETED is due

  Scenario: A roll-out is completed in time even if calls hang at old runners
    Given a roll-out of 20 seconds for a service of 10 old runners
    And 10 new runners appear after 1 seconds
    When 19.2 seconds pass without a failure
    And 2 calls are in flight at old runners
    Then the result COMPLETED is due

  # Guards against calls to runners that have already stopped.
  Scenario: Old runners get no calls after the roll-out is completed
    Given a roll-out of 20 seconds for a service of 10 old runners
    And 10 new runners appear after 1 seconds
    When the roll-out is COMPLETED
    Then all old runners are EXCLUDED and all new ones SERVING

  # Guards against a takeover by a version that has no runners.
  Scenario: A version whose runners don't start is rolled back
    Given a roll-out of 20 seconds for a service of 10 old runners
    When 19.5 seconds pass without a failure
    Then the result ROLLED_BACK is due
    And no call goes to a new runner

  # Guards against overload after a takeover by too few new runners.
  Scenario: Too few new runners do not take over
    Given a roll-out of 20 seconds for a service of 10 old runners
    And 3 new runners appear after 1 seconds
    When 19.5 seconds pass without a failure
    Then the result ROLLED_BACK is due

  # Guards against late updates that revive a replaced order.
  Scenario: A second order replaces the first one
    Given a roll-out of 20 seconds for a service of 10 old runners
    And 10 new runners appear after 1 seconds
    When a second roll-out to version v3 starts
    Then all runners of version v2 are EXCLUDED
    And a late update of the first order changes nothing

  Scenario: A withdrawn order has no calls and no result
    Given a roll-out of 20 seconds for a service of 10 old runners
    And 10 new runners appear after 1 seconds
    When the operators withdraw the order
    Then no call goes to a new runner
    And no result of a roll-out is due

  # Guards against treating a repeated order as already finished.
  Scenario: A repeated order for the same version starts again
    Given a roll-out of 20 seconds for a service of 10 old runners
    And 10 new runners appear after 1 seconds
    When the roll-out is ROLLED_BACK
    And the operators order the same version again
    Then the result RUNNING is due
    And a late result of the finished order changes nothing

  # Guards against retries that fail at the same bad version as the first call.
  Scenario: A retry goes to the old version
    Given a roll-out of 20 seconds for a service of 10 old runners
    And 10 new runners appear after 1 seconds
    Then no retry goes to a new runner

  # Guards against a restarted process that restarts the schedule.
  Scenario: The earliest start time is used
    Given a roll-out of 20 seconds for a service of 10 old runners
    And 10 new runners appear after 1 seconds
    When another VM reports that the roll-out started 17.5 seconds ago
    Then 18.5 seconds of the roll-out have passed

  Scenario: Order updates can be merged in any sequence
    Then updates of an order can be merged in any sequence

  Scenario Outline: Simulated roll-outs of a whole fleet
    When 5 roll-outs of a version with <fault> are simulated at <load> load
    Then at least <correct> have the expected result
    And no bad version that was detected received more calls than allowed

    Examples:
      | fault              | load  | correct |
      | none               | heavy | 5       |
      | failures           | heavy | 5       |
      | failures_late      | heavy | 5       |
      | failures_loaded    | heavy | 5       |
      | failures_one_route | heavy | 5       |
      | slow               | heavy | 5       |
      | slow_one_route     | heavy | 5       |
      | none               | plain | 5       |
      | failures           | plain | 5       |
      | slow               | plain | 5       |
