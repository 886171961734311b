Feature: Orders with a target state

  Scenario: An order is read back before it counts
    Given orders that want a target at upstream "r1"
    Then the target is sent, read back and confirmed

  Scenario: An order whose answer was lost is read back, not repeated blindly
    Given orders that want a target at upstream "r1"
    When the order is sent and its answer is lost
    Then the target is read back first

  Scenario: A late order of an old holder is undone
    Symptom: an upstream serves what an old holder had wanted.
    Events: the target is confirmed; then an order of the old holder takes
      effect at an upstream that ignores fencing numbers.
    Cause: nothing at the upstream tells old from new.
    Given orders that want a target at upstream "r1"
    When the order is confirmed and later read back as something else
    Then the target is sent again
