Feature: What a caller gets of a stream is always whole up to its end

  # Guards against any gap or repetition, whatever runners make of a stream and
  # however it is cut into pieces.
  Scenario: Any events, any faults, any pieces, any number of tries
    Then what is written of any stream is its beginning

  # Guards against an event that counts as passed on and was never written.
  Scenario: An event that can't be written doesn't count
    Given a splitter of events
    When the events 1 to 3 come, and can't be written
    Then the stream goes on after no event

  # Guards against memory and work without end, by a runner whose event never
  # ends.
  Scenario: An event without end is refused
    Given a splitter of events
    When an event without end comes in pieces of 1000 bytes
    Then the stream is bad after at most 1100000 bytes
    And the splitter took less than 2 seconds

  Scenario: A long event passes
    Given a splitter of events
    When an event of 1000000 bytes comes in pieces of 1000 bytes
    Then the stream goes on after event 1
