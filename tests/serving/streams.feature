Feature: Streams through an entry VM

  Scenario: Events are forwarded unchanged
    Given a route for streams
    And a runner that streams
    When a call is made
    Then the stream has events 1 to 6 and is complete

  # Guards against an incomplete stream that looks complete, because it is ended
  # like a complete one after its runner failed in the middle of an event.
  Scenario: A stream that cannot be resumed is aborted after a complete event
    Given a route for streams
    And a runner that streams half and resets
    And a runner that streams
    When a call is made
    Then the stream has events 1 to 3 and is not complete
    And runners ran 1 calls

  # Guards against repeated or missing events after a runner's crash within an
  # event, when another runner resumes after the last byte instead of after the
  # last complete event.
  Scenario: A resumable stream is resumed after its last complete event
    Given a route for resumable streams
    And a runner that streams half and resets, then streams
    And a runner that streams half and resets, then streams
    When a call is made
    Then the stream has events 1 to 3 and is not complete
    And runners ran 2 calls

  Scenario: A stream is resumed at a working runner
    Given a route for resumable streams with 3 attempts
    And a runner that streams half and resets, then streams
    When a call is made and a runner that streams joins after it was sent
    Then the stream has events 1 to 6 and is complete

  # Guards against an incomplete stream that looks complete, because a runner
  # that was to resume it answers with an error.
  Scenario Outline: A stream goes on elsewhere if a runner fails to resume it
    Given a route for resumable streams with 3 attempts
    And a runner that streams half and resumes with <what>
    And a runner that streams half and resumes with <what>
    When a call is made and a runner that streams joins while it is resumed
    Then the stream has events 1 to 6 and is complete
    And runners ran 3 calls

    Examples:
      | what                  |
      | 400                   |
      | 404                   |
      | 409                   |
      | 500                   |
      | 504                   |
      | nothing and no length |

  # Guards against the same when no attempt is left.
  Scenario Outline: A stream that no runner resumes is aborted
    Given a route for resumable streams with 2 attempts
    And a runner that streams half and resumes with <what>
    And a runner that streams half and resumes with <what>
    When a call is made
    Then the stream has events 1 to 3 and is not complete
    And runners ran 2 calls

    Examples:
      | what                  |
      | 400                   |
      | 404                   |
      | 409                   |
      | 500                   |
      | 504                   |
      | nothing and no length |

  Scenario: A stream is complete if a runner resumes it with nothing
    Given a route for resumable streams
    And a runner that streams all without the end and resumes with an empty stream
    And a runner that streams all without the end and resumes with an empty stream
    When a call is made
    Then the stream has events 1 to 6 and is complete

  Scenario: A stream without length is complete if its runner goes on
    Given a route for streams
    And a runner that streams without length
    When a call is made
    Then the stream has events 1 to 6 and is complete

  # Guards against an incomplete stream that looks complete, because the end of
  # a runner's process closes its connections like the end of a response.
  Scenario: A stream without length is resumed if its runner has ended
    Given a route for resumable streams with 2 attempts
    And a runner that streams half without length and ends
    When a call is made and a runner that streams joins after it was sent
    Then the stream has events 1 to 6 and is complete

  Scenario: A stream without length is aborted if its runner has ended
    Given a route for streams
    And a runner that streams half without length and ends
    When a call is made
    Then the stream has events 1 to 3 and is not complete

  Scenario: A caller resumes a stream after its own last event
    Given a route for resumable streams
    And a runner that streams
    When a call is made that resumes after event 4
    Then the stream has events 5 to 6 and is complete

  Scenario: A stream with a missing event is aborted before the gap
    Given a route for streams
    And a runner that omits an event
    When a call is made
    Then the stream is aborted before event 4

  # Guards against a gap that reaches the caller when events arrive one by one
  # and the sixth is missing, because the order is checked only of events that
  # a task reads and not of those that the body callback forwards.
  Scenario: A stream with a late missing event is aborted before the gap
    Given a route for streams
    And a runner that omits a later event
    When a call is made
    Then the stream has events 1 to 5 and is not complete

  # Guards against a gap in a stream that ends as complete: the good events
  # before a bad one of the same piece counted as passed on, and were dropped.
  Scenario Outline: A stream goes on after the good events before a bad one
    Given a route for resumable streams
    And a runner that streams a piece with <fault>
    And a runner that streams a piece with <fault>
    When a call is made
    Then the stream has events 1 to 6 and is complete
    And runners ran 2 calls

    Examples:
      | fault           |
      | a missing event |
      | a doubled event |
      | swapped events  |
      | a spoiled event |
      | a huge id       |
      | no good event   |

  Scenario: The good events before a bad one reach a caller that can't go on
    Given a route for streams
    And a runner that streams a piece with a spoiled event
    When a call is made
    Then the stream has events 1 to 4 and is not complete

  # Guards against memory that grows with each slow caller, and against lost
  # events, because events are forwarded faster than the caller reads. Here
  # 18 MB of events arrive at once and the caller reads nothing for 0.3 s.
  Scenario: A slow caller receives all events with little buffering in the VM
    Given a route for streams
    And a runner that streams 3000 large events
    When a call is made whose caller reads nothing for 0.3 s
    Then the stream has events 1 to 3000 and is complete
    And the VM buffered at most 400000 bytes for the caller

  Scenario: Usage counts a call once, when it has begun to run
    Given a route for resumable streams with 3 attempts
    And a runner that streams half and resets, then streams
    When a call is made and a runner that streams joins after it was sent
    Then the usage of "clerks" is 1

  # Guards against a stream that its caller takes for a whole one, or can't read:
  # by HTTP/1.0 there are no chunks, and the end of the connection ends it.
  Scenario Outline: A caller that takes no chunks sees whether a stream is whole
    Given a route for streams
    And a runner that <streams>
    When a call is made by HTTP/1.0
    Then the body has events 1 to <last>, without chunks
    And the connection to the caller <ends>

    Examples:
      | streams                              | last | ends      |
      | streams                              | 6    | is closed |
      | streams without length               | 6    | is closed |
      | streams half and resets              | 3    | is reset  |
      | streams half without length and ends | 3    | is reset  |
