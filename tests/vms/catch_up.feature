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

  # Guards against a VM that waits its whole tolerated time again, as the
  # peer's turn came while another peer, which has ended, was being asked.
  Scenario: A peer keeps its turn while another fetch is running
    Given a VM that tolerates peers being ahead for 0.3 seconds
    When one peer is ahead for 0.5 seconds while another fetch is running
    And one peer is ahead and three are not for 0.1 seconds
    Then the VM asks the peer that is ahead

  # Guards against a directory that is 0.8 s late for each VM that ended just
  # before it was asked.
  Scenario: Changes of runners are fetched elsewhere if a peer is slow
    Given a VM that fetches changes of runners from one
    Then it may not fetch them from one
    And it may not fetch them from two
    When 0.25 seconds pass without an answer
    Then it may not fetch them from one
    And it may fetch them from two
    When one fails and two begins
    Then it may not fetch them from one
    When 0.25 seconds pass without an answer
    Then it may fetch them from three
    And it may not fetch them from one
    When 0.25 seconds pass without an answer
    Then it may fetch them from one

  # Guards against a delay after a kept connection that the peer had closed.
  Scenario: A fetch that failed at once is repeated at once
    Given a VM that fetches changes of runners from one
    When the fetch from one fails
    Then it may fetch them from one

  Scenario: A configuration is fetched from one peer at a time
    Given a VM that fetches a configuration from one
    When 0.25 seconds pass without an answer
    Then it may not fetch it from two
    When the fetch from one succeeds
    Then it may fetch it from two
