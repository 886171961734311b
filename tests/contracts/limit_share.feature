Feature: Shares of a limit that holds for the whole fleet

  Scenario: Shares settle on the limit
    Then shares whose members have heard each other sum to the limit
    And whole units sum to the limit too

  Scenario: Shares follow demand
    Given a limit of 100 shared by 4 members that heard each other
    When one member's demand is nine times that of the others
    Then its share is more than 60 and each other has at least 5

  Scenario: Demand changes while announcements are under way
    Symptom: the fleet admits more than the limit.
    Events: demands change faster than announcements reach all VMs.
    Cause: a VM uses its new demand while others assume its old one.
    Then shares never sum above the limit while announcements take 3 seconds
    But greedy shares sum above it

  Scenario: A network partition
    Symptom: each side of a partition uses the whole limit.
    Events: a fleet of 6 splits in two, and both sides have demand.
    Cause: each side takes over the shares of its silent members.
    Then after any split the shares of all sum to at most the limit
    But greedy shares without silent members sum to twice the limit

  Scenario: A member that hears from nobody
    Given a limit of 100 shared by 4 members that heard each other
    When the member with all the demand is disconnected
    Then its share decays to 25 within 30 seconds

  Scenario: A member that disappeared keeps its share for a while
    Given a limit of 100 shared by 4 members that heard each other
    When one member disappears without notice
    Then the others share 75 until 300 seconds have passed, and then 100
    When one of the others has certainly ended
    Then the remaining two share 100 at once

  Scenario: Shares of a data centre are split further
    Given 2 data centres of 3 members that share a limit of 60
    Then the members' shares sum to 60
