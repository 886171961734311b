Feature: A stopping VM continues to serve callers for a while

  Scenario: A VM without calls ends when callers know of the drain
    Given a VM with 8 seconds to stop
    When it has no calls to answer
    Then it ends within 1.8 to 2.6 seconds, still accepting calls

  Scenario: A VM with a long call ends when the call is over
    Given a VM with 8 seconds to stop
    When a call is answered for 5 seconds
    Then it ends within 5.8 to 6.8 seconds, refusing calls after 3 seconds

  Scenario: A VM ends before it would be killed
    Given a VM with 8 seconds to stop
    When a call is answered for 20 seconds
    Then it ends within 7.4 to 8.0 seconds, refusing calls after 3 seconds

  # Guards against a stream that is cut off: a caller with an old list of VMs
  # calls 6.9 s after the stop signal, its stream is accepted, and 0.8 s later
  # the shutdown time is over.
  Scenario: A VM that is about to end sends callers to other VMs
    Given a route for idempotent calls
    And a runner that answers
    When the VM takes no more calls and a call is made
    Then the status is 503 with a time to come back
    And no runner ran a call
