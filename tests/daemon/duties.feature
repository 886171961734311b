Feature: One entry VM at a time gives orders

  Scenario: Every runner gets the catalogue's model
    Given a fleet of 3 engines and 2 entry VMs
    Then all runners have version 1 of the model in force
    When the catalogue asks for version 2 of the model
    Then all runners have version 2 of the model in force
    And one entry VM alone gave orders under each number

  Scenario: The holder is paused past its lease
    Symptom: a model that was replaced is back.
    Events: the VM that holds the duty stands still; another takes the
    lease and orders a new version; the first one runs on.
    Cause: the first one still thinks that it holds the lease.
    Given a fleet of 3 engines and 3 entry VMs
    And all runners have version 1 of the model in force
    When the holder of the duty is paused
    And the catalogue asks for version 2 of the model
    Then all runners have version 2 of the model in force
    When the holder that was paused runs on
    And 3.0 s pass
    Then all runners have version 2 of the model in force
    And the runners saw a greater number than the first holder's

  Scenario: The holder is paused, and runners ignore fencing numbers
    Symptom and events as above; no runner refuses an old number.
    Cause: only the check before each order stands between.
    Given a fleet of 3 engines and 3 entry VMs
    And runners ignore fencing numbers
    And all runners have version 1 of the model in force
    When the holder of the duty is paused
    And the catalogue asks for version 2 of the model
    Then all runners have version 2 of the model in force
    When the holder that was paused runs on
    And 3.0 s pass
    Then all runners have version 2 of the model in force

  Scenario: An old holder's order is refused by fencing
    The naive version: an order is sent under a number that was replaced.
    Given a fleet of 1 engines and 2 entry VMs
    And all runners have version 1 of the model in force
    When an order for version 0 comes under the number 0
    Then the runner refuses it
    And all runners have version 1 of the model in force
    When runners ignore fencing numbers
    And an order for version 0 comes under the number 0
    Then the runner takes it
