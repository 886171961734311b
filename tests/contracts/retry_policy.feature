Feature: Whether a failed attempt is sent again

  Scenario: The decision agrees with each of the rules
    Then each retry decision agrees with the rules one by one

  Scenario: A registration whose answer was lost
    Symptom: a registration is made twice.
    Events: an upstream runs a registration; its answer is lost.
    Cause: the attempt is assumed not to have run.
    Given a failed attempt that is not idempotent and may have run
    Then the failed attempt is not sent again because "not_idempotent"

  Scenario: A registration that certainly was not sent
    Given a failed attempt that is not idempotent and was not sent
    Then the failed attempt is sent again

  Scenario: An attempt that can't be sent again takes nothing from the budget
    Given a failed attempt past its deadline
    Then the failed attempt is not sent again because "deadline"
    And the retry budget is as full as before

  Scenario: A retry after an announced reclaim needs no budget
    Given a failed attempt at a leaving runner without budget
    Then the failed attempt is sent again
