Feature: VMs ask the keeper of a limit

  Scenario: A call is counted by the keeper and by nobody else
    Given two VMs of which the other one keeps a customer's limit
    When 3 calls of 100 units come where the limit has little left
    Then the keeper has counted 300 units and the VM that asked none

  Scenario: A call that did not run is given back to the keeper
    Given two VMs of which the other one keeps a customer's limit
    When a call that the keeper let in did not run
    Then the keeper has counted 0 units and the VM that asked none

  # Symptom: of a customer that presses two calls in 100 are refused that one
  # exact counter lets in.
  # Events: each VM counts the first calls by itself, as the limit has room.
  # Cause: the order in which they came is lost, and what follows differs.
  Scenario: The keeper is asked from the first call on
    Given two VMs of which the other one keeps a customer's limit
    When 3 calls of 100 units come where the limit has room
    Then the keeper has counted 300 units and the VM that asked none

  # Symptom: calls of a hot customer fail while a VM stands still.
  # Events: the keeper of its limit is frozen.
  # Cause: an answer that is waited for.
  Scenario: Without an answer a VM decides by itself
    Given two VMs of which the other one keeps a customer's limit
    When the keeper says nothing and a call of 100 units comes
    Then the VM that asked has counted 100 units
    And it asks another one next time

  Scenario: A keeper that knows nothing yet says so
    Given two VMs of which the other one keeps a customer's limit
    When the keeper has just started and a call of 100 units comes
    Then the VM that asked has counted 100 units
    And the keeper is told of the 100 before any record comes

  # Symptom: a limit has less and less room while a keeper is slow.
  # Events: the keeper's answer comes after the VM has decided by itself.
  # Cause: a call that is counted twice.
  Scenario: What a late answer let in is given back
    Given two VMs of which the other one keeps a customer's limit
    When the keeper's answer comes late
    Then the keeper has counted 0 units and the VM that asked 100

  Scenario Outline: What is no question is not answered
    Given two VMs of which the other one keeps a customer's limit
    When the keeper is sent <what>
    Then it has counted nothing and goes on answering

    Examples:
      | what                  |
      | bytes of no form      |
      | a list of other things |
      | units below zero      |
      | an unknown kind       |
      | a question of a stranger |
