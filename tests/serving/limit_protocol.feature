Feature: VMs ask the keeper of a limit

  Scenario: A call is counted by the keeper only
    Given two VMs of which the other one keeps a customer's limit
    When 3 calls of 100 units arrive where the limit has little left
    Then the keeper has counted 300 units and the asking VM none

  Scenario: The units of a call that did not run are refunded to the keeper
    Given two VMs of which the other one keeps a customer's limit
    When a call that the keeper admitted did not run
    Then the keeper has counted 0 units and the asking VM none

  # Guards against refusing calls that one exact counter admits (two in 100 of a
  # customer above its limit). If each VM counts the first calls by itself while
  # the limit has room, the order of the calls is lost, and later ones differ.
  Scenario: The keeper is asked from the first call on
    Given two VMs of which the other one keeps a customer's limit
    When 3 calls of 100 units arrive where the limit has room
    Then the keeper has counted 300 units and the asking VM none

  # Guards against failing calls of a busy customer while the keeper of its
  # limit is suspended and its answers are awaited.
  Scenario: Without an answer, a VM decides by itself
    Given two VMs of which the other one keeps a customer's limit
    When a call of 100 units arrives while the keeper does not answer
    Then the asking VM has counted 100 units
    And it asks another VM next time

  Scenario: A keeper that does not know the limit's level says so
    Given two VMs of which the other one keeps a customer's limit
    When a call of 100 units arrives while the keeper has just started
    Then the asking VM has counted 100 units
    And the keeper is told of the 100 units before any record arrives

  # Guards against calls that count twice: a slow keeper admits a call after the
  # asking VM has counted it by itself, and the limit has less and less room.
  Scenario: Units that a late answer admitted are refunded
    Given two VMs of which the other one keeps a customer's limit
    When the keeper's answer arrives late
    Then the keeper has counted 0 units and the asking VM 100

  # Guards against a changed message of a part that is off: VMs of other builds
  # and their decisions must not depend on it.
  Scenario: Without a hash, a request is that of builds that know none
    Given two VMs of which the other one keeps a customer's limit
    When a call of 100 units without a hash arrives
    Then the request on the wire has 4 fields and is answered

  Scenario Outline: The mode decides whether a retry finds its units
    Given two VMs of which the other one keeps a customer's limit
    When a refused call returns at its time, behind a new call, in mode <mode>
    Then the <first> is admitted by the keeper, which counts <given> retry times

    Examples:
      | mode    | first         | given |
      | on      | returning one | 1     |
      | observe | new one       | 1     |
      | off     | new one       | 0     |

  Scenario: In modes off and observe the decisions are those of the limit
    Then 2000 calls and retries in modes off and observe get the limit's answers

  # Guards against a roll-out in which each call of a new VM waits for the answer
  # of an old keeper that ignores requests with a hash.
  Scenario: A keeper of a build without hashes is asked without one
    Given two VMs of which the other one keeps a customer's limit
    When two calls with a hash arrive while the keeper knows no hashes
    Then the first is decided by the asking VM and the second by the keeper

  Scenario: A lost answer does not stop requests with hashes
    Given two VMs of which the other one keeps a customer's limit
    When a keeper that has answered leaves a request with a hash unanswered
    Then the next request has 6 fields

  Scenario Outline: An invalid request is not answered
    Given two VMs of which the other one keeps a customer's limit
    When the keeper is sent <what>
    Then it has counted nothing and still answers valid requests

    Examples:
      | what                       |
      | malformed bytes            |
      | a list with wrong types    |
      | negative units             |
      | a hash that is no number   |
      | an unknown kind of message |
      | a request of a stranger    |
