Feature: The stand-ins for the cloud, the weight store and plain services

  Scenario: A repeated purchase gives one VM, which is listed after a lag
    Given a cloud API stand-in whose list lags by 0.2 s
    When the same purchase is sent to the cloud API twice
    Then the cloud API has sold 1 VM
    And the cloud API's list contains the VM only after its lag

  Scenario: A purchase is refused in a data centre without capacity
    Given a cloud API stand-in whose list lags by 0 s
    When the cloud API has no capacity in data centre dc-a
    Then the cloud API refuses a VM in dc-a and sells a VM in dc-b

  Scenario: A reclaim ends the wait of a long poll for notices
    Given a cloud API stand-in whose list lags by 0 s
    When a runner is registered and reclaimed in 0.2 s
    Then the cloud API's notice has the runner's name and the remaining time
    And the cloud API's list shows the runner as leaving, then not at all

  Scenario: Loads above the weight store's rate get a retry time
    Given a weight store stand-in with a burst limit of 2 loads
    When 4 leases are requested from the weight store
    Then the weight store grants 2 and refuses 2 with a retry time

  Scenario: A plain service counts each run of an operation
    Given a plain service stand-in in its own process
    When the operation is sent to the plain service 2 times
    Then the plain service has run the operation 2 times

  Scenario: A run is counted although its response is lost
    The lose_answer fault closes the connection after the run is counted, so
    that a caller can't know whether the operation ran and may send it again.
    Given a plain service stand-in in its own process
    And the plain service has the fault lose_answer for one call
    When the operation is sent to the plain service 1 times
    Then the plain service has run the operation 1 times
    And the plain service has sent no response

  Scenario: A service that exits after the run has counted the run
    Given a plain service stand-in in its own process
    And the plain service has the fault die_after for one call
    When the operation is sent to the plain service 1 times
    Then the plain service has sent no response
    And after a restart the service has run the operation 1 times

  Scenario: A service that exits before the run has not counted the run
    Given a plain service stand-in in its own process
    And the plain service has the fault die_before for one call
    When the operation is sent to the plain service 1 times
    Then the plain service has sent no response
    And after a restart the service has run the operation 0 times
