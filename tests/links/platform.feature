Feature: Calls to the platform

  Background:
    Given the platform's object API is up

  Scenario: Conditional writes
    When platform object "a" is created with "one"
    Then the platform write succeeds with version 1
    When platform object "a" is created with "two"
    Then the platform write fails as "conflict" at version 1
    When platform object "a" is written with "two" expecting version 1
    Then the platform write succeeds with version 2
    And a platform watch of "a" after version 1 sees "two" at version 2
    And listing platform objects under "a" shows "two" at version 2

  Scenario: A lost answer is told apart from a write that was not sent
    Given the object API loses the answer of 1 write
    When platform object "a" is created with "one"
    Then the platform write fails as "ambiguous"
    And platform object "a" holds "one"
    Given the object API refuses connections
    When platform object "a" is written with "two" expecting version 1
    Then the platform write fails as "unavailable"

  Scenario Outline: A write whose answer was lost is read back
    A write takes effect, its answer is lost, and the write is repeated. The
    repeat conflicts with the version that the first attempt stored, and an
    operator is told that an edit was refused although it is in force.
    Given the object API loses the <what> of 1 write
    When platform object "a" is created with "mine" by <way>
    Then the platform write <outcome>
    And platform object "a" holds "mine"

    Examples:
      | what    | way             | outcome                      |
      | answer  | blind retries   | fails as "conflict"          |
      | answer  | reading it back | succeeds with version 1      |
      | request | reading it back | succeeds with version 1      |

  Scenario Outline: Another VM's write is not taken for the VM's own
    One VM's write is lost on its way and another VM's write takes effect.
    If the first VM took the existing object for its own, both VMs would
    believe that they hold the same lease.
    Given the object API loses the request of 1 write
    And another VM creates platform object "a" with "theirs" meanwhile
    When platform object "a" is created with "mine" by <way>
    Then the platform write fails as "<kind>"
    And platform object "a" holds "theirs"

    Examples:
      | way             | kind      |
      | reading it back | conflict  |
      | one write       | ambiguous |

  Scenario: If the store is down after a lost answer, the outcome is unknown
    Given the object API loses the answer of 1 write and is then down
    When platform object "a" is created with "mine" by reading it back
    Then the platform write fails as "ambiguous"

  Scenario: A read is repeated when its connection lost its packets
    A firewall drops the state of an open connection, so that its packets are
    lost while new connections work. Reads over the old connection would time
    out at one VM although the store is healthy.
    Given platform object "a" was read over a connection that then lost packets
    Then platform object "a" holds "one"
    And the platform accepted 2 connections

  Scenario: A connection that the server closed while idle is not used
    The server closes an idle connection. If its state were not checked before
    the next use, the first write after an idle period would be sent into the
    closed connection, with an unknown outcome.
    Given platform object "a" was read over a connection that was then closed
    When platform object "a" is written with "two" expecting version 1
    Then the platform write succeeds with version 2

  Scenario: A truncated answer counts as no answer
    Given a server that sends truncated answers
    Then reading platform object "a" fails as "unavailable"

  Scenario Outline: Each kind of platform failure has its own error
    Given the object API is set to <fault>
    Then reading platform object "a" fails as "<kind>"

    Examples:
      | fault                | kind        |
      | {"calls_per_s": 0.1} | throttled   |
      | {"down": true}       | unavailable |
      | {}                   | not_found   |

  Scenario: Purchases and reclaim notices of the cloud API
    Given the platform's cloud API is up with a spare runner
    When a runner is bought twice with one token
    Then both purchases name one VM
    And a third purchase fails as "no_capacity"
    And a reclaim notice of that VM arrives
