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

  Scenario: A lost answer is told apart from a write that never left
    Given the object API loses the answer of 1 write
    When platform object "a" is created with "one"
    Then the platform write fails as "ambiguous"
    And platform object "a" holds "one"
    Given the object API refuses connections
    When platform object "a" is written with "two" expecting version 1
    Then the platform write fails as "unavailable"

  Scenario Outline: A write whose answer was lost is read back
    Symptom: an operator is told that an edit was refused; it is in force.
    Events: the write takes effect, its answer is lost, it is repeated.
    Cause: the repeat meets the version that the write itself made.
    Given the object API loses the <what> of 1 write
    When platform object "a" is created with "mine" by <way>
    Then the platform write <outcome>
    And platform object "a" holds "mine"

    Examples:
      | what    | way             | outcome                      |
      | answer  | blind repeats   | fails as "conflict"          |
      | answer  | reading it back | succeeds with version 1      |
      | request | reading it back | succeeds with version 1      |

  Scenario Outline: Another's write is not taken for one's own
    Symptom: two VMs both believe that they hold one lease.
    Events: one write is lost on its way; another VM's write takes effect.
    Cause: the object is there, but does not hold the first VM's value.
    Given the object API loses the request of 1 write
    And another VM creates platform object "a" with "theirs" meanwhile
    When platform object "a" is created with "mine" by <way>
    Then the platform write fails as "<kind>"
    And platform object "a" holds "theirs"

    Examples:
      | way             | kind      |
      | reading it back | conflict  |
      | one write       | ambiguous |

  Scenario: With the store gone after a lost answer the outcome is unknown
    Given the object API loses the answer of 1 write and is then down
    When platform object "a" is created with "mine" by reading it back
    Then the platform write fails as "ambiguous"

  Scenario: A connection that went silent does not fail a read
    Symptom: reads time out at one VM while the store is well.
    Events: a firewall forgets an open connection; new ones work.
    Cause: the read was sent into the forgotten connection.
    Given platform object "a" was read over a connection that went silent
    Then platform object "a" holds "one"
    And the platform saw 2 connections

  Scenario: A connection that the server closed while idle is not written to
    Symptom: the first write after a quiet spell has an unknown outcome.
    Events: the server closes an idle connection, then a write is sent on it.
    Cause: nobody looked at the connection before using it again.
    Given platform object "a" was read over a connection that was then closed
    When platform object "a" is written with "two" expecting version 1
    Then the platform write succeeds with version 2

  Scenario: A cut answer is no answer
    Given a server whose answers end in the middle
    Then reading platform object "a" fails as "unavailable"

  Scenario Outline: The platform's refusals have their own errors
    Given the object API is set to <fault>
    Then reading platform object "a" fails as "<kind>"

    Examples:
      | fault                | kind        |
      | {"calls_per_s": 0.1} | throttled   |
      | {"down": true}       | unavailable |
      | {}                   | not_found   |

  Scenario: The cloud API's lists, purchases and notices
    Given the platform's cloud API is up with a spare runner
    When a runner is bought twice with one token
    Then both purchases name one VM
    And a third purchase fails as "no_capacity"
    And a reclaim notice of that VM arrives
