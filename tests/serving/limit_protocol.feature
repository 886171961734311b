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

  Scenario Outline: An invalid request is not answered
    Given two VMs of which the other one keeps a customer's limit
    When the keeper is sent <what>
    Then it has counted nothing and still answers valid requests

    Examples:
      | what                       |
      | malformed bytes            |
      | a list with wrong types    |
      | negative units             |
      | an unknown kind of message |
      | a request of a stranger    |
