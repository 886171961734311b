Feature: The engine stand-in

  Scenario: An answer streams as its expected tokens
    Given an engine stand-in
    When a completion of 12 tokens is streamed from the engine stand-in
    Then the engine stand-in's answer is whole
    And the engine stand-in counts 1 execution and 0 recomputed tokens

  Scenario: Any engine gives the same answer over export and import
    Given 2 engine stand-ins
    When a stream of 60 tokens is exported from the first engine stand-in
    And the state is imported by the second engine stand-in
    And the second engine stand-in's stream is read after the last token
    Then the engine stand-in's answer is whole
    And no engine stand-in counts recomputed tokens
    And the request ran as a fresh start in 1 engine stand-in

  Scenario: A generated answer that is not yet read can be exported
    Given 2 engine stand-ins
    When a stream of 60 tokens is exported once it is generated
    And the state is imported by the second engine stand-in
    And the second engine stand-in's stream is read after the last token
    Then the engine stand-in's answer is whole
    And no engine stand-in counts recomputed tokens

  Scenario: A replay with the tokens sent so far recomputes and goes on
    Given 2 engine stand-ins
    When a stream of 60 tokens is exported from the first engine stand-in
    And the prompt and the sent tokens are replayed at the second
    Then the engine stand-in's answer is whole
    And the second counts the prompt and the sent tokens as recomputed

  Scenario: A replay where the prompt is cached recomputes less
    Given an engine stand-in
    When a completion of 8 tokens is streamed from the engine stand-in
    And the same request is sent to the engine stand-in once more
    Then the engine stand-in counts 2 executions and 28 recomputed tokens

  Scenario: A reader that breaks off resumes without recomputation
    Given an engine stand-in
    When a reader breaks off a stream of 80 tokens after 5
    And the engine stand-in's stream is resumed after the last token
    Then the engine stand-in's answer is whole
    And the engine stand-in counts 1 execution and 0 recomputed tokens

  Scenario: A stream that nobody reads ends after its linger time
    Given an engine stand-in that lingers for 0.1 s
    When a reader breaks off a stream of 4000 tokens after 5
    Then the engine stand-in forgets the stream

  Scenario: Waiting requests start by priority
    Given an engine stand-in with 1 slot
    When requests of priority 1 and 9 wait behind a running one
    Then the engine stand-in runs the request of priority 9 first

  Scenario: With fencing an order with an old number is refused
    Given an engine stand-in
    When orders with the fencing numbers 5 and 4 reach it
    Then the engine stand-in follows the order numbered 5

  Scenario: Without fencing an order with an old number is followed
    Symptom: a runner drains although the new holder of the duty wants it.
    Events: the new holder orders with 5; a paused old holder orders with 4.
    Cause: the engine ignores fencing numbers.
    Given an engine stand-in
    And the engine stand-in ignores fencing numbers
    When orders with the fencing numbers 5 and 4 reach it
    Then the engine stand-in follows the order numbered 4

  Scenario: Cache events come late and with gaps
    Given an engine stand-in
    And the engine stand-in loses every cache event
    When a completion of 2 tokens is streamed from the engine stand-in
    And the engine stand-in stops losing cache events
    And another prompt is streamed from the engine stand-in
    Then the engine stand-in's first cache event has a number above 1

  Scenario: Evicted blocks are counted when they are computed again
    Given an engine stand-in with room for 4 blocks
    When three prompts of 3 blocks each are sent in turn, twice
    Then the engine stand-in counts evicted blocks that were recomputed

  Scenario: A prompt that crashes it ends the process at once
    Symptom: each engine that runs one prompt vanishes.
    Events: the prompt arrives; the process exits without an answer.
    Cause: the crash_on fault matches the prompt.
    Given an engine stand-in in a process of its own
    When a prompt that crashes it reaches the engine process
    Then the engine process has exited and counted 1 execution

  Scenario: Open streams go silent while new ones work
    Given an engine stand-in
    When the open stream is silenced after 3 tokens
    Then the silenced stream gives nothing more
    And a new stream of the engine stand-in is whole
