Feature: Concurrency limit that learns from latency

  Scenario: It stays within its bounds
    Then the concurrency limit stays within its bounds after any samples

  Scenario: It finds what the runners can do
    Given runners that answer 20 requests in time and more of them late
    When the learned limit admits all it may for 120 seconds
    Then the learned limit ends between 14 and 26

  Scenario: It rises again
    Given runners that answer 10 requests in time and more of them late
    When the learned limit admits all it may for 60 seconds
    And the runners come to answer 40 in time
    And the learned limit admits all it may for 120 seconds
    Then the learned limit ends between 28 and 50

  Scenario: Runners that can do less than before
    Symptom: most requests miss their target though many are refused.
    Events: half the runners are reclaimed; the limit was set for all.
    Cause: a fixed limit doesn't hear of it.
    Given runners that answer 20 requests in time and more of them late
    When the learned limit admits all it may for 60 seconds
    And the runners come to answer 8 in time
    And the learned limit admits all it may for 10 seconds
    And the learned limit admits all it may for 30 seconds
    Then less than 10 of 100 requests are late under the learned limit
    But more than 90 of 100 requests are late under a fixed limit of 20

  Scenario: Idle callers don't raise it
    Given runners that answer 20 requests in time and more of them late
    When the learned limit is 10 and 2 requests at a time come for 60 seconds
    Then the learned limit ends between 10 and 10

  Scenario: Prompts that always take long
    Given runners whose undisturbed first token takes 0.6 of the target
    When the learned limit admits all it may for 60 seconds
    Then the learned limit ends between 14 and 64

  Scenario: Capacity that is told to be lost counts at once
    Given a learned limit of 40 of at most 40
    When the bounds become 1 and 10
    Then the learned limit ends between 10 and 10
