Feature: Requests continue when the entry VM that accepted them ends

  Scenario: An entry VM stops in the middle of streams
    Guards against answers that a planned restart truncates. The VM gets
    SIGTERM while streams run and callers still use its address; its
    connections end with the process.
    Given a fleet of 3 engines and 2 entry VMs
    And 10 callers are streaming 120 tokens each at vm-0
    When vm-0 is asked to stop
    Then every answer is whole and no token came twice
    And some callers were redirected to another entry VM
    And no token was recomputed
    And vm-0 exits with 0

  Scenario: An entry VM is reclaimed in the middle of streams
    Guards against answers of one entry VM that end early or start again. The
    platform reclaims the VM a few seconds after its notice, which is too
    short for the running streams to finish.
    Given a fleet of 3 engines and 2 entry VMs
    And 10 callers are streaming 160 tokens each at vm-0
    When vm-0 gets a reclaim notice of 2.5 s
    Then every answer is whole and no token came twice
    And some callers were redirected to another entry VM
    And no token was recomputed

  Scenario: An entry VM dies in the middle of streams
    Guards against callers whose stream can't be found after SIGKILL. They go
    to another entry VM with Last-Event-ID, but only the dead VM knew which
    runner has the stream.
    Given a fleet of 3 engines and 2 entry VMs
    And 10 callers are streaming 120 tokens each at vm-0
    When vm-0 is killed
    Then every answer is whole and no token came twice
    And no token was recomputed

  Scenario: An answer that is not streamed is fetched after a handover
    Guards against an error at a caller that does not stream when its entry
    VM is restarted. The VM gets SIGTERM while the answer is computed, and
    there is no stream in which to redirect the caller.
    Given a fleet of 3 engines and 2 entry VMs
    When 3 callers wait for answers of 100 tokens at vm-0 without streaming
    And vm-0 is asked to stop
    Then every answer is whole and no token came twice
    And vm-0 exits with 0

  Scenario: Runners and their entry VM are reclaimed together
    Guards against answers that end early when a data centre is reclaimed
    together with its entry VM. Runners and entry VM get their notices at the
    same time, so the handover of a request and the move of its stream to
    another runner overlap.
    Given a fleet of 6 engines and 3 entry VMs
    And 12 callers are streaming 160 tokens each at vm-0
    When the runners of dc-a are reclaimed after a notice of 3.0 s
    And vm-0 gets a reclaim notice of 3.0 s
    Then every answer is whole and no token came twice

  Scenario: A customer can't read another customer's request
    Guards against a customer that reads another customer's answer by its
    request ID, at the entry VM that has the request or at another one: the ID
    alone must not authorise the caller.
    Given a fleet of 3 engines and 2 entry VMs
    And 1 callers are streaming 60 tokens each at vm-0
    When bruno asks each entry VM for ana's request
    Then bruno gets 404 or a redirect and nothing of ana's answer

  Scenario: A third entry VM finds the keys of a VM that has left
    Guards against a registration that has run and whose outcome is reported
    as unknown by another VM. The VM that executed the keyed call leaves, and
    the caller repeats the call at a VM that did not adopt the ledger: all VMs
    have to know which one did.
    Given a fleet of 1 engines, 1 services and 4 entry VMs
    When a keyed call is executed at vm-0
    And vm-0 is asked to stop
    Then vm-0 exits with 0
    And each other entry VM repeats the same answer
