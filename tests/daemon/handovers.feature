Feature: Requests outlive the entry VM that took them

  Scenario: An entry VM stops in the middle of streams
    Symptom: a planned restart cuts answers off.
    Events: SIGTERM while streams run; callers still know the address.
    Cause: the process ends with its connections.
    Given a fleet of 3 engines and 2 entry VMs
    And 10 callers are streaming 120 tokens each at vm-0
    When vm-0 is asked to stop
    Then every answer is whole and no token came twice
    And some callers were told where to go on
    And no token was computed again
    And vm-0 exits with 0

  Scenario: An entry VM is reclaimed in the middle of streams
    Symptom: the answers of one entry VM end, or start again.
    Events: the platform takes the VM a few seconds after its notice.
    Cause: the time is too short to end what runs.
    Given a fleet of 3 engines and 2 entry VMs
    And 10 callers are streaming 160 tokens each at vm-0
    When vm-0 gets a reclaim notice of 2.5 s
    Then every answer is whole and no token came twice
    And some callers were told where to go on
    And no token was computed again

  Scenario: An entry VM dies in the middle of streams
    Symptom: callers that come back are told that nobody knows them.
    Events: SIGKILL; callers go to another entry VM with Last-Event-ID.
    Cause: the dead VM alone knew which runner has the stream.
    Given a fleet of 3 engines and 2 entry VMs
    And 10 callers are streaming 120 tokens each at vm-0
    When vm-0 is killed
    Then every answer is whole and no token came twice
    And no token was computed again

  Scenario: A whole answer is fetched where it was moved
    Symptom: a caller without a stream gets an error from a restart.
    Events: SIGTERM while the answer is being computed.
    Cause: there is no stream in which to tell the caller.
    Given a fleet of 3 engines and 2 entry VMs
    When 3 callers wait for whole answers of 100 tokens at vm-0
    And vm-0 is asked to stop
    Then every answer is whole and no token came twice
    And vm-0 exits with 0

  Scenario: Runners and the entry VM go together
    Symptom: answers end when a data centre goes with its entry VM.
    Events: the data centre's runners and entry VM get one notice.
    Cause: the handover and the move of a stream cross each other.
    Given a fleet of 6 engines and 3 entry VMs
    And 12 callers are streaming 160 tokens each at vm-0
    When the runners of dc-a are taken after a notice of 3.0 s
    And vm-0 gets a reclaim notice of 3.0 s
    Then every answer is whole and no token came twice

  Scenario: Another customer's request stays hidden
    Symptom: one customer reads another's answer.
    Events: a customer asks for a request ID that is not its own, at the
    entry VM that has it and at another one.
    Cause: the ID alone is taken as proof.
    Given a fleet of 3 engines and 2 entry VMs
    And 1 callers are streaming 60 tokens each at vm-0
    When bruno asks each entry VM for ana's request
    Then bruno is told that there is no such request

  Scenario: A third entry VM finds the keys of one that left
    Symptom: a registration that ran is answered with unknown elsewhere.
    Events: a keyed call runs at one VM, which leaves; the caller sends the
    call again to a VM that is not the heir.
    Cause: only the leaving VM and its heir know where the ledger went.
    Given a fleet of 1 engines, 1 services and 4 entry VMs
    When a keyed call runs at vm-0
    And vm-0 is asked to stop
    Then vm-0 exits with 0
    And each other entry VM gives the same answer again
