Feature: Concurrency limit that adapts to latency

  Scenario: It stays within its bounds
    Then the concurrency limit stays within its bounds after any samples

  Scenario: It converges on the capacity of the runners
    Given runners that answer up to 20 concurrent requests in time
    When the adaptive limit admits all it may for 120 seconds
    Then the adaptive limit ends between 14 and 26

  Scenario: It rises again
    Given runners that answer up to 10 concurrent requests in time
    When the adaptive limit admits all it may for 60 seconds
    And the capacity of the runners becomes 40
    And the adaptive limit admits all it may for 120 seconds
    Then the adaptive limit ends between 28 and 50

  Scenario: Runners whose capacity falls
    Symptom: most requests miss their target though many are refused.
    Events: half the runners are reclaimed; the limit was set for all.
    Cause: a fixed limit does not follow the capacity.
    Given runners that answer up to 20 concurrent requests in time
    When the adaptive limit admits all it may for 60 seconds
    And the capacity of the runners becomes 8
    And the adaptive limit admits all it may for 10 seconds
    And the adaptive limit admits all it may for 30 seconds
    Then less than 10 of 100 requests are late under the adaptive limit
    But more than 90 of 100 requests are late under a fixed limit of 20

  Scenario: Low load does not raise it
    Given runners that answer up to 20 concurrent requests in time
    When the adaptive limit is 10 and 2 requests are in flight for 60 seconds
    Then the adaptive limit ends between 10 and 10

  Scenario: Prompts whose first token always takes long
    Given runners whose first token takes 0.6 of the target without queueing
    When the adaptive limit admits all it may for 60 seconds
    Then the adaptive limit ends between 14 and 64

  Scenario: A lower ceiling applies at once
    Given an adaptive limit of 40 with a ceiling of 40
    When the bounds become 1 and 10
    Then the adaptive limit ends between 10 and 10
