Feature: One entry VM at a time orders which models the runners load

  Scenario: Every runner loads the catalogue's model
    Given a fleet of 3 engines and 2 entry VMs
    Then all runners have version 1 of the model in force
    When the catalogue asks for version 2 of the model
    Then all runners have version 2 of the model in force
    And only one entry VM sent orders under each fencing number

  Scenario: The lease of a paused holder expires
    Guards against the return of a model version that was replaced. The VM
    that holds the duty is paused, another VM takes the lease and orders a new
    version, and the first VM is resumed: it must not act on a lease that
    expired during the pause.
    Given a fleet of 3 engines and 3 entry VMs
    And all runners have version 1 of the model in force
    When the holder of the duty is paused
    And the catalogue asks for version 2 of the model
    Then all runners have version 2 of the model in force
    When the paused holder is resumed
    And 3.0 s pass
    Then all runners have version 2 of the model in force
    And the runners have seen a higher fencing number than the first holder's

  Scenario: The lease expires and runners ignore fencing numbers
    Guards against the same fault in the same sequence of events. No runner
    refuses an old fencing number, so only the check of the lease before each
    order can prevent it.
    Given a fleet of 3 engines and 3 entry VMs
    And runners ignore fencing numbers
    And all runners have version 1 of the model in force
    When the holder of the duty is paused
    And the catalogue asks for version 2 of the model
    Then all runners have version 2 of the model in force
    When the paused holder is resumed
    And 3.0 s pass
    Then all runners have version 2 of the model in force

  Scenario: Fencing refuses an order of a previous holder
    Shows that an order sent without the check of the lease takes effect when
    the runner ignores fencing numbers.
    Given a fleet of 1 engines and 2 entry VMs
    And all runners have version 1 of the model in force
    When an order for version 0 arrives with fencing number 0
    Then the runner refuses the order
    And all runners have version 1 of the model in force
    When runners ignore fencing numbers
    And an order for version 0 arrives with fencing number 0
    Then the runner accepts the order
