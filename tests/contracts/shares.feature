Feature: Shares of a limit that holds for the whole fleet

  Scenario: Shares settle on the limit
    Then shares whose members have heard each other sum to the limit
    And whole units sum to the limit too

  Scenario: Shares follow demand
    Given a limit of 100 shared by 4 members that heard each other
    When one member's demand is nine times that of the others
    Then its share is more than 60 and each other has at least 5

  Scenario: Demand jumps about while announcements travel
    Symptom: the fleet admits more than the limit.
    Events: demands change faster than announcements reach all VMs.
    Cause: each VM lives by its new demand while others count its old one.
    Then shares never sum above the limit while announcements take 3 seconds
    But greedy shares do sum above it

  Scenario: Parts of the fleet lose each other
    Symptom: each side of a broken link uses the whole limit.
    Events: a fleet of 6 splits in two, and both sides' demand goes on.
    Cause: each side shares out what the silent ones held.
    Then after any split the shares of all sum to at most the limit
    But greedy shares that forget the silent ones sum to twice the limit

  Scenario: A member that hears nobody
    Given a limit of 100 shared by 4 members that heard each other
    When one member is cut off with all of the demand
    Then its share decays to 25 within 30 seconds

  Scenario: A member that vanished keeps its part for a while
    Given a limit of 100 shared by 4 members that heard each other
    When one member vanishes without a word
    Then the others share 75 until 300 seconds have passed, and then 100
    When one of the others leaves for certain
    Then the two that are left share 100 at once

  Scenario: Shares nest
    Given 2 data centres of 3 members that share a limit of 60
    Then the members' shares sum to 60
