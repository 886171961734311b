Feature: Pooled connections to upstreams

  Scenario: Connections to runners that have gone are closed
    Nobody calls a runner again after it has gone. If a connection's age were
    checked only when the connection is taken from the pool, an entry VM
    would run out of sockets after days.
    When a pool keeps a connection to each of 500 upstreams in turn
    Then it never keeps more than 45 of them
    And it has closed each one that it doesn't keep

  Scenario: Pooled connections are taken latest first, up to a maximum age
    When a pool keeps 3 connections to one upstream, 5.0 s apart
    Then they are taken from the latest to the oldest
    And after another 20.0 s none is taken

  Scenario: Timeouts of stale connections are told apart from an overload
    A dozen lookups wait on pooled connections when a middlebox drops the
    state of all of them. If each repeat counted against the retry budget, as
    for an overload, one lookup would fail although each service is healthy.
    When 12 calls on pooled connections to one upstream time out
    Then none of their repeats counts against the retry budget
    But a repeat after a connection that was opened later does count
    And after 30.0 s the pooled connections are blamed once more

  # Guards against half a body that passes for a whole one, and against a whole
  # one that is taken for half.
  Scenario Outline: Only the upstream's framing shows that a body is whole
    Given an upstream that sends <answer> and then <end>
    When its answer to a <method> request is read
    Then the body <result>

    Examples: bodies that are cut
      | answer                           | end          | method | result        |
      | half of its announced length     | closes       | GET    | is broken off |
      | half of its length, stated twice | closes       | GET    | is broken off |
      | a length that is no number       | closes       | GET    | is broken off |
      | lengths that contradict          | closes       | GET    | is broken off |
      | a length and chunks              | closes       | GET    | is broken off |
      | a coding that nobody knows       | closes       | GET    | is broken off |
      | half of a head                   | closes       | GET    | is broken off |
      | a head without its last line     | closes       | GET    | is broken off |
      | half a chunk                     | closes       | GET    | is broken off |
      | chunks without the last one      | closes       | GET    | is broken off |
      | half of the size of a chunk      | closes       | GET    | is broken off |
      | an interim answer only           | closes       | GET    | is broken off |
      | half of its announced length     | resets       | GET    | is broken off |
      | a body without length            | resets       | GET    | is broken off |
      | half of its announced length     | keeps silent | GET    | times out     |
      | a body without length            | keeps silent | GET    | times out     |

    Examples: bodies that are whole
      | answer                           | end          | method | result        |
      | its announced length             | keeps silent | GET    | is whole      |
      | its length, stated twice         | keeps silent | GET    | is whole      |
      | all chunks                       | keeps silent | GET    | is whole      |
      | a body without length            | closes       | GET    | is whole      |
      | interim answers and a whole one  | keeps silent | GET    | is whole      |
      | the length of what a GET gets    | keeps silent | HEAD   | is empty      |
      | 304 with a length                | keeps silent | GET    | is empty      |

  # Guards against a value that nobody sent, in place of a document that broke
  # off before its first byte.
  Scenario Outline: An empty body counts as no document only if it has a length
    Given an upstream that sends <answer> and then closes
    When a document is fetched from it
    Then the document <result>

    Examples:
      | answer                                | result        |
      | an empty body without length          | is broken off |
      | an empty body of its announced length | is none       |

  # Guards against an answer that reaches the caller of another request.
  Scenario: A kept connection with unread bytes is not used again
    Given an upstream that sends its announced length and then answers once more
    When 2 requests are sent to it, 0.15 s apart
    Then both bodies are whole

  # Guards against a pool that takes its first connection for an old one.
  Scenario: The first connection that a pool gets is used again
    Given an upstream that sends its announced length and then keeps silent
    And a pool whose clock runs since 1000 s
    When a request is sent to it through that pool
    Then the pool gives its connection to the next request

  # Guards against a pool that stays empty, as each request closes what it used.
  Scenario: The first connection that fetches a document is used again
    Given an upstream that sends a whole document and then keeps silent
    And a pool whose clock runs since 1000 s
    When a document is fetched from it through that pool
    Then it was not asked to close the connection
    And the pool gives its connection to the next request
