Feature: Connections that go silent for good

  # Guards against calls that wait for their deadline on a connection whose
  # packets are dropped: all that was sent is acknowledged, so that only
  # keep-alive probes show it.
  Scenario: A call is not kept waiting on a silent connection
    Given a route for non-idempotent calls with a timeout of 9 seconds
    And a runner that goes silent for good
    When a call is made and timed
    Then it ends after 2.5 to 3.9 seconds
    And the status is 502

  # Guards against calls that are kept away from all runners for half an hour,
  # because connections that the network dropped are taken for crashes.
  Scenario: A silent connection is not taken for a crash of its runner
    Given a route for non-idempotent calls with a timeout of 9 seconds
    And a runner that goes silent for good
    When a call is made
    Then the status is 502
    And no call is suspected of a crash
    And runner 1 had 1 connections

  Scenario: A stream on a silent connection is resumed at another runner
    Given a route for resumable streams with a timeout of 9 seconds
    And a runner that streams half and goes silent for good, unless it resumes
    And a runner that streams half and goes silent for good, unless it resumes
    When a call is made and timed
    Then it ends after 2.5 to 3.9 seconds
    And the stream has events 1 to 6 and is complete

  # Guards against probes on connections that wait in a pool.
  Scenario: Nothing is sent on connections without a call
    Given a route for non-idempotent calls
    And a runner that answers
    When a call is made
    Then no connection to a runner is probed

  # Guards against runners that work for callers that vanished without a close.
  Scenario: A caller whose connection has gone silent cancels its call
    Given a route for idempotent calls with a timeout of 9 seconds
    And callers are given up after 2 seconds of silence
    And a runner that hangs
    When a caller makes a call and goes silent for good
    Then the connection to runner 1 was closed
    And it was closed within 4 seconds
