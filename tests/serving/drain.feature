Feature: How a VM that was told to stop goes on serving

  Scenario: A quiet VM ends when callers know of it
    Given a VM with 8 seconds to stop
    When it has no calls
    Then it ends within 1.8 to 2.6 seconds, still taking calls

  Scenario: A VM with a long call ends when the call is over
    Given a VM with 8 seconds to stop
    When a call is answered for 5 seconds
    Then it ends within 5.8 to 6.8 seconds, taking no calls after 3 seconds

  Scenario: A VM never ends later than it would be killed
    Given a VM with 8 seconds to stop
    When a call is answered for 20 seconds
    Then it ends within 7.4 to 8.0 seconds, taking no calls after 3 seconds

  # Symptom: an answer is cut off although its VM had been stopping for 7 s.
  # Events: a caller with an old list comes 6.9 s after the signal; its stream
  # is begun, and cut when the grace time is over 0.8 s later.
  # Cause: calls taken for which no time is left.
  Scenario: A VM that has been leaving for long sends callers elsewhere
    Given a route for idempotent calls
    And a runner that answers
    When the VM takes no more calls and a call is made
    Then the status is 503 with a time to come back
    And no runner ran a call
