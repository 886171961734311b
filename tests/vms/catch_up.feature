Feature: Timers for fetching newer data from peers

  # A VM must fetch data that two of its five peers have, although records of
  # all peers arrive five times a second: with one timer for all peers, each
  # peer that is not ahead would restart it, and the VM would never ask.
  Scenario: A peer that is ahead is asked although other peers are not ahead
    Given a VM that tolerates peers being ahead for 0.3 seconds
    When one peer is ahead and three are not for 0.5 seconds
    Then the VM asks the peer that is ahead

  Scenario: A peer that is ahead only briefly is not asked
    Given a VM that tolerates peers being ahead for 0.3 seconds
    When one peer is ahead for 0.2 seconds and then no more
    Then the VM asks no peer

  Scenario: Without a tolerated time a peer that is ahead is asked at once
    Given a VM that tolerates peers being ahead for 0 seconds
    When one peer is ahead and three are not for 0.1 seconds
    Then the VM asks the peer that is ahead
