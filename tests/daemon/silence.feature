Feature: Silent connections are detected and replaced

  Scenario: A caller without the system waits for ever
    Shows that the check of answers can fail. The connection to a runner goes
    silent in the middle of an answer; without the system, the caller can't
    tell a silent connection from a slow runner and keeps waiting.
    Given relays in front of 3 engines and 1 services, and 1 entry VMs
    When a caller without the system streams from dc-a, which goes silent
    Then an answer is broken

  Scenario: Connections fall silent in the middle of streams
    Guards against a stream that stops without an end when a device on the
    network path loses the state of the connections to a data centre's
    runners. They drop all data in both directions; new connections work.
    Given relays in front of 3 engines and 1 services, and 2 entry VMs
    And 9 callers are streaming 100 tokens each
    When the open connections to dc-a go silent
    Then every answer is whole and no token came twice
    And no token was recomputed
    And at most 2.5 s passed between two tokens

  Scenario: Connections fall silent twice during streams
    Guards against a stream that recovers once but not a second time, because
    the second silence is taken for a runner crash. All connections go
    silent, all new ones do 1.8 s later, and the third ones work.
    Given relays in front of 3 engines and 1 services, and 2 entry VMs
    And 9 callers are streaming 140 tokens each
    When all open connections go silent
    And 1.8 s later all open connections go silent
    Then every answer is whole and no token came twice
    And no token was recomputed

  Scenario: Connections are silent before the first token
    Guards against a caller that waits for its first token for ever. For half a
    second, connections to a data centre drop all data from the first byte on,
    so that no answer has begun that could be late.
    Given relays in front of 3 engines and 1 services, and 2 entry VMs
    When open and new connections to dc-a are silent for 0.5 s
    And 12 callers stream 10 tokens each during the silence
    Then every answer is whole and no token came twice
    And each first token came within 5.0 s

  Scenario: Connections fall silent during idempotent calls
    Guards against a status lookup that hangs or fails because it waits for an
    answer that can't come: the connections of idempotent calls go silent
    while the calls run.
    Given relays in front of 1 engines and 3 services, and 2 entry VMs
    And each plain service takes 0.5 s
    When all open connections go silent while 4 lookups run
    Then each lookup got its own answer within 6.0 s

  Scenario: Connections are reset during idempotent calls
    Guards against a status lookup that is quarantined as a cause of crashes.
    The connections of idempotent calls are reset while the calls run; the
    services are alive, but a reset is taken for a crash.
    Given relays in front of 1 engines and 3 services, and 2 entry VMs
    And each plain service takes 0.5 s
    When all open connections are reset while 4 lookups run
    Then each lookup got its own answer within 6.0 s
    And the same lookups are answered when they are repeated

  Scenario: A service is killed during idempotent calls
    Guards against status lookups that are refused for minutes after a service
    was killed with lookups in flight. Each lookup is a suspect after the
    crash, and a repeated lookup must get its trial.
    Given direct connections to 1 engines and 3 services, and 2 entry VMs
    And each plain service takes 0.5 s
    When service-0 is killed while 12 lookups run
    Then each lookup got its own answer within 8.0 s
    And the same lookups are answered when they are repeated

  Scenario: Idle connections are reset or silent when they are reused
    Guards against lookups that fail or wait after a quiet time, because idle
    connections look alive until they are reused. First the idle connections
    are reset, then others go silent.
    Given relays in front of 1 engines and 3 services, and 2 entry VMs
    When 12 lookups have left idle connections
    And all open connections are reset
    Then 12 new lookups get their own answers within 2.5 s
    When all open connections go silent
    Then 12 new lookups get their own answers within 6.0 s

  Scenario: Answers come late, after their calls were retried
    Guards against a caller that gets another caller's answer. A service
    answers some calls after they were given up, and a late answer waits on a
    connection that another call reuses.
    Given relays in front of 1 engines and 3 services, and 2 entry VMs
    And service-0 takes 3.6 s and the others 0.0 s
    When 90 lookups are made by 24 callers
    Then each lookup got its own answer within 12.0 s

  Scenario: The owner of a key stops answering the other entry VMs
    Guards against a registration that hangs until its deadline at an entry VM
    that forwards it. The VM that minted the key is stopped by SIGSTOP, and a
    call over its open connection may wait for as long as the deadline.
    Given relays in front of 1 engines and 3 services, and 3 entry VMs
    When vm-0 pauses while a registration with its key is sent to vm-1 and vm-2
    Then both attempts were reported as unknown within 8.0 s
    And the registration has not run

  Scenario: Connections to the store fall silent
    Guards against an accepted configuration that doesn't come into force. All
    connections to the object API go silent, a new catalogue is written, and
    a watch waits on a dead connection although new ones work.
    Given a relay in front of the store of 3 entry VMs
    When the store's open connections go silent
    And a catalogue is written to the store
    Then the catalogue is in force at each entry VM within 8.0 s
