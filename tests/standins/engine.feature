Feature: The engine stand-in

  Scenario: A streamed answer consists of the expected tokens
    Given an engine stand-in
    When a completion of 12 tokens is streamed from the engine stand-in
    Then the answer from the engine stand-in is complete
    And the engine stand-in counts 1 execution and 0 recomputed tokens

  Scenario: An exported sequence continues at another engine without a prefill
    Given 2 engine stand-ins
    When a stream of 60 tokens is exported from the first engine stand-in
    And the state is imported by the second engine stand-in
    And the stream is read on from the second engine stand-in
    Then the answer from the engine stand-in is complete
    And no engine stand-in counts recomputed tokens
    And the request was executed from its start on 1 engine stand-in

  Scenario: An answer can be exported after generation and before it is read
    Given 2 engine stand-ins
    When a stream of 60 tokens is exported when all are generated
    And the state is imported by the second engine stand-in
    And the stream is read on from the second engine stand-in
    Then the answer from the engine stand-in is complete
    And no engine stand-in counts recomputed tokens

  Scenario: A request resumed at another engine recomputes its context
    Given 2 engine stand-ins
    When a stream of 60 tokens is exported from the first engine stand-in
    And the request resumes on the second engine stand-in
    Then the answer from the engine stand-in is complete
    And the second engine stand-in recomputed the prompt and received tokens

  Scenario: A repeated request does not recompute cached blocks
    Given an engine stand-in
    When a completion of 8 tokens is streamed from the engine stand-in
    And the same request is sent to the engine stand-in again
    Then the engine stand-in counts 2 executions and 28 recomputed tokens

  Scenario: A client that disconnected resumes without recomputation
    Given an engine stand-in
    When a client disconnects from a stream of 80 tokens after 5
    And the stream is read on from the same engine stand-in
    Then the answer from the engine stand-in is complete
    And the engine stand-in counts 1 execution and 0 recomputed tokens

  Scenario: A stream without a reader is dropped after the linger time
    Given an engine stand-in with a linger time of 0.1 s
    When a client disconnects from a stream of 4000 tokens after 5
    Then the engine stand-in no longer knows the stream

  Scenario: Waiting requests start in order of priority
    Given an engine stand-in with 1 slot
    When requests of priority 1 and 9 wait while another one runs
    Then the engine stand-in runs the request of priority 9 first

  Scenario: With fencing, an order with a lower fencing number is refused
    Given an engine stand-in
    When the engine stand-in gets orders with fencing numbers 5 and 4
    Then the engine stand-in has applied the order with fencing number 5

  Scenario: Without fencing, an order with a lower fencing number is applied
    An engine that ignores fencing numbers also applies an order with number 4
    that a paused former lease holder sends after the new holder's order with
    number 5. The runner then drains although the new holder needs it.
    Given an engine stand-in
    And the engine stand-in ignores fencing numbers
    When the engine stand-in gets orders with fencing numbers 5 and 4
    Then the engine stand-in has applied the order with fencing number 4

  Scenario: Dropped cache events leave a gap in the sequence numbers
    Given an engine stand-in
    And the engine stand-in drops every cache event
    When a completion of 2 tokens is streamed from the engine stand-in
    And the engine stand-in stops dropping cache events
    And a completion of another prompt is streamed
    Then the first published cache event has a sequence number above 1

  Scenario: Blocks that are computed again after eviction are counted
    Given an engine stand-in with a prefix cache of 4 blocks
    When three prompts of 3 blocks each are sent one after another, twice
    Then the engine stand-in counts the recomputed tokens of evicted blocks

  Scenario: A prompt that matches the crash fault ends the engine process
    The process exits without a response. With the fault set on each engine, a
    request that is retried with this prompt ends one engine after another.
    Given an engine stand-in in its own process
    When a prompt that matches the crash fault is sent to the engine process
    Then the engine process has exited and counted 1 execution

  Scenario: Silenced streams send nothing more while new streams work
    Given an engine stand-in
    When an open stream is silenced after 3 tokens
    Then the silenced stream sends nothing more
    And a new stream of the engine stand-in is complete

  Scenario: A fragile engine falls over when it rejects too many requests
    The engine runs one request, another one waits, and it stands 1 rejection
    a second.
    Given a full engine stand-in that is fragile
    When 2 more requests are sent to the engine stand-in
    Then it rejects the first with 503 and drops all other connections
    And the engine stand-in takes requests again after its fall
