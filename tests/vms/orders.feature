Feature: Orders with a target state

  Scenario: An order is confirmed by reading the target back
    Given orders with a target for upstream "r1"
    Then the target is sent, read back and confirmed

  Scenario: An order without an answer is read back before it is repeated
    Given orders with a target for upstream "r1"
    When the order is sent and its answer is lost
    Then the target is read back first

  Scenario: A late order of a previous holder is corrected
    An upstream that ignores fencing numbers may apply a late order of a
    previous lease holder after the current target was confirmed.
    Given orders with a target for upstream "r1"
    When the order is confirmed and a later read returns another target
    Then the target is sent again
