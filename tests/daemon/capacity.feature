Feature: One entry VM buys the runners that the catalogue requires

  Scenario: Runners are bought up to the minimum of the pool
    Three of the four required runners must remain after the loss of any one
    data centre. With three data centres this takes at least five runners.
    Given a fleet of 2 engines and 2 entry VMs
    And 3 more engines can be bought
    When the catalogue requires at least 4 runners
    Then each entry VM has 5 runners that are not leaving
    And the cloud has sold 3 VMs

  Scenario: The answer to an order is lost
    Guards against buying more VMs than planned. The cloud starts the VM but
    its answer is lost; the order must not be repeated as a new one.
    Given a fleet of 2 engines and 2 entry VMs
    And 3 more engines can be bought
    And the cloud loses the next 2 answers
    When the catalogue requires at least 3 runners
    Then each entry VM has 3 runners that are not leaving
    When 6.0 s pass
    Then the cloud has sold 1 VMs

  Scenario: Starts are refused in one data centre
    Guards against a pool that stays too small after a reclaim. A data
    centre's runners are reclaimed and no VM can be bought there; the order
    must not be repeated in the data centre that refused it. Two of the three
    required runners must remain after the loss of any one data centre, so the
    two data centres that sell VMs get two runners each.
    Given a fleet of 3 engines and 2 entry VMs
    And 3 more engines can be bought
    And the cloud sells no VM in dc-a
    When the catalogue requires at least 3 runners
    And the runners of dc-a are reclaimed after a notice of 1.0 s
    Then the cloud has sold 2 VMs
    And each entry VM has 4 runners that are not leaving
