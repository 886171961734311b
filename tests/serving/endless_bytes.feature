Feature: A peer that sends bytes without end is left at once

  # Guards against memory and work that grow as long as a peer sends what ends
  # no head, chunk or trailer.
  Scenario Outline: A connection fails soon, with flat memory
    Given a connection that waits for a response
    When <what> come without end, in pieces of <size> bytes
    Then it fails after at most <most> bytes, with at most 3000000 bytes kept

    Examples:
      | what                    | size  | most    |
      | lines of a head         | 1400  | 80000   |
      | lines of a head         | 65536 | 400000  |
      | a line of a head        | 1400  | 80000   |
      | a line of a head        | 65536 | 400000  |
      | a status line           | 1400  | 80000   |
      | interim heads           | 1400  | 80000   |
      | trailers                | 1400  | 80000   |
      | a trailer               | 65536 | 400000  |
      | a chunk extension       | 1400  | 80000   |
      | late responses          | 1400  | 80000   |
      | a late body             | 65536 | 17000000 |

  # Guards against a reader that a few bytes a second keep busy for ever.
  Scenario Outline: A connection fails if bytes drip without end
    Given a connection that waits for a response
    When <what> come without end, a byte each 0.5 seconds
    Then it fails within 4 seconds

    Examples:
      | what              |
      | a line of a head  |
      | trailers          |
      | a chunk extension |

  # Guards against a limit that cuts sound responses.
  Scenario Outline: A sound long response passes
    Given a connection that waits for a response
    When a response comes with <what>, in pieces of <size> bytes
    Then it is whole

    Examples:
      | what                          | size  |
      | 200 fields of 200 bytes       | 1     |
      | 200 fields of 200 bytes       | 65536 |
      | 100000 chunks of 1 byte       | 7     |
      | a chunk of 4000000 bytes      | 1400  |
      | three interim heads           | 3     |
      | ten trailers                  | 5     |

  # Guards against calls that wait at such a runner until their deadline.
  Scenario Outline: A call goes on elsewhere
    Given a route for idempotent calls
    And a runner that sends <what> without end
    And a runner that sends <what> without end
    When a call is made and a runner that answers joins after it was sent
    Then the call is answered within 2 seconds

    Examples:
      | what                |
      | lines of a head     |
      | a line of a head    |
      | interim heads       |
      | trailers            |
      | a chunk extension   |
      | a body              |

  Scenario Outline: A stream goes on elsewhere
    Given a route for resumable streams with 3 attempts
    And a runner that streams half and sends <what> without end
    And a runner that streams half and sends <what> without end
    When a stream is begun and a runner that streams joins after it was sent
    Then the stream has events 1 to 6 and is complete
    And the stream took at most 2 seconds

    Examples:
      | what              |
      | an event          |
      | a chunk extension |
      | trailers          |

  # Guards against a caller, or another VM, whose request never ends.
  Scenario Outline: A request without end is refused
    Given a route for idempotent calls
    And a runner that answers
    When without end a caller sends <what>
    Then the caller's connection is closed after at most 12000000 bytes
    And runners ran 0 calls

    Examples:
      | what              |
      | lines of a head   |
      | a chunk extension |
      | trailers          |

  Scenario: A body without end from the store or another VM is refused
    Given a server that sends a body without end
    When it is called
    Then the call to the server fails within 5 seconds
