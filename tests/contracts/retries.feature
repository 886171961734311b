Feature: Whether a failed attempt is sent again

  Scenario: The decision agrees with a plain table of rules
    Then each retry decision agrees with the rules one by one

  Scenario: A registration whose answer was lost
    Symptom: a registration is made twice.
    Events: an upstream runs a registration; its answer is lost.
    Cause: the attempt is taken for one that was not run.
    Given a failed attempt that is not idempotent and may have run
    Then the failed attempt is not sent again because "not_idempotent"

  Scenario: A registration that surely was not sent
    Given a failed attempt that is not idempotent and was not sent
    Then the failed attempt is sent again

  Scenario: A spent budget refuses only what would be sent
    Given a failed attempt past its deadline
    Then the failed attempt is not sent again because "deadline"
    And the retry budget is as full as before

  Scenario: A reclaim that was announced needs no budget
    Given a failed attempt at a runner known to be leaving, its budget spent
    Then the failed attempt is sent again
