Feature: Streams through an entry VM

  Scenario: Events are passed on as they are
    Given a route for streams
    And a runner that streams
    When a call is made
    Then the stream has events 1 to 6 and is complete

  # Symptom: half an answer that looks whole.
  # Events: the runner ends in the middle of an event.
  # Cause: the caller's stream ended like a whole one.
  Scenario: A stream that may not go on elsewhere is cut after a whole event
    Given a route for streams
    And a runner that streams half and resets
    And a runner that streams
    When a call is made
    Then the stream has events 1 to 3 and is not complete
    And runners ran 1 calls

  # Symptom: an event comes twice or is missing after a runner's crash.
  # Events: the runner crashes within event 4; another one goes on.
  # Cause: going on from the last byte and not from the last whole event.
  Scenario: A stream that may go on elsewhere goes on after its last event
    Given a route for resumable streams
    And a runner that streams half and resets, then streams
    And a runner that streams half and resets, then streams
    When a call is made
    Then the stream has events 1 to 3 and is not complete
    And runners ran 2 calls

  Scenario: A stream goes on at a runner that is sound
    Given a route for resumable streams with 3 attempts
    And a runner that streams half and resets, then streams
    When a call is made with a second sound runner behind it
    Then the stream has events 1 to 6 and is complete

  Scenario: A caller goes on with its own last event
    Given a route for resumable streams
    And a runner that streams
    When a call is made that goes on after event 4
    Then the stream has events 5 to 6 and is complete

  Scenario: A stream with a gap is cut before it
    Given a route for streams
    And a runner that leaves an event out
    When a call is made
    Then the stream is cut before event 4

  # Symptom: a gap in the middle of a stream reaches the caller.
  # Events: events come one by one; the sixth is missing.
  # Cause: the order is checked only of what a task reads.
  Scenario: A stream with a gap that comes late is cut before it
    Given a route for streams
    And a runner that leaves an event out later
    When a call is made
    Then the stream has events 1 to 5 and is not complete

  # Symptom: a VM's memory grows with each caller on a slow line, or such a
  # caller misses events.
  # Events: 18 MB of events come at once; the caller reads nothing for 0.3 s.
  # Cause: events are passed on without regard to the caller's pace.
  Scenario: A caller that reads late gets all events, and little waits for it
    Given a route for streams
    And a runner that streams 3000 large events
    When a call is made whose caller reads nothing for 0.3 s
    Then the stream has events 1 to 3000 and is complete
    And at most 400000 bytes waited for the caller in the VM

  Scenario: Usage counts a call once, when it has begun to run
    Given a route for resumable streams with 3 attempts
    And a runner that streams half and resets, then streams
    When a call is made with a second sound runner behind it
    Then the usage of "clerks" is 1
