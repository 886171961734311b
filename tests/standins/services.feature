Feature: The stand-ins of the cloud, the weight store and plain services

  Scenario: A bought VM appears late on the list, and once for a token
    Given a cloud API stand-in whose list lags by 0.2 s
    When the same purchase reaches the cloud API twice
    Then the cloud API has sold 1 VM
    And the cloud API's list shows it only later

  Scenario: A purchase is refused when there is no capacity
    Given a cloud API stand-in whose list lags by 0 s
    When the cloud API has no capacity in dc-a
    Then the cloud API refuses a VM in dc-a and sells one in dc-b

  Scenario: A reclaim wakes who waits for notices
    Given a cloud API stand-in whose list lags by 0 s
    When a runner is registered and reclaimed in 0.2 s
    Then the cloud API's notice names the runner and the time left
    And the cloud API's list shows it leaving, then no more

  Scenario: Loads over the weight store's rate are told when to come back
    Given a weight store stand-in that allows 2 loads at once
    When 4 leases are asked of the weight store
    Then the weight store grants 2 and refuses 2, saying when

  Scenario: A plain service counts each run of an operation
    Given a plain service stand-in in a process of its own
    When the operation is sent to the plain service 2 times
    Then the plain service has run the operation 2 times

  Scenario: A run counts although its answer was lost
    Symptom: the caller sees a broken connection and asks again.
    Events: the run is counted; the connection closes without an answer.
    Cause: the lose_answer fault for one call.
    Given a plain service stand-in in a process of its own
    And the plain service's fault lose_answer for one call
    When the operation is sent to the plain service 1 times
    Then the plain service has run the operation 1 times
    And the plain service gave no answer

  Scenario: A service that dies after the run has counted it
    Given a plain service stand-in in a process of its own
    And the plain service's fault die_after for one call
    When the operation is sent to the plain service 1 times
    Then the plain service gave no answer
    And started again, it has run the operation 1 times

  Scenario: A service that dies before the run has not counted it
    Given a plain service stand-in in a process of its own
    And the plain service's fault die_before for one call
    When the operation is sent to the plain service 1 times
    Then the plain service gave no answer
    And started again, it has run the operation 0 times
