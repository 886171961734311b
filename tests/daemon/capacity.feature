Feature: One entry VM buys the runners that the catalogue asks for

  Scenario: The pool is filled up to its least number
    Three of the four must remain whichever data centre is lost, and five
    runners are the least that can be spread so over three.
    Given a fleet of 2 engines and 2 entry VMs
    And 3 more engines can be bought
    When the catalogue wants at least 4 runners
    Then each entry VM sends to 5 runners
    And the cloud has sold 3 VMs

  Scenario: The answer to an order is lost
    Symptom: the bill shows more VMs than were wanted.
    Events: the cloud starts the VM, and its answer never comes.
    Cause: the order is sent again as a new one.
    Given a fleet of 2 engines and 2 entry VMs
    And 3 more engines can be bought
    And the cloud loses the next 2 answers
    When the catalogue wants at least 3 runners
    Then each entry VM sends to 3 runners
    When 6.0 s pass
    Then the cloud has sold 1 VMs

  Scenario: Starts are refused in one data centre
    Symptom: a pool stays too small after a reclaim.
    Events: a data centre's runners are taken and it sells no others.
    Cause: the order is repeated where it was refused.
    Two of the three must remain whichever data centre is lost, so the two
    data centres that sell come to hold two each.
    Given a fleet of 3 engines and 2 entry VMs
    And 3 more engines can be bought
    And dc-a sells no VM
    When the catalogue wants at least 3 runners
    And the runners of dc-a are taken after a notice of 1.0 s
    Then the cloud has sold 2 VMs
    And each entry VM sends to 4 runners
