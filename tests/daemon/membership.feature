Feature: Entry VMs list the live entry VMs to callers

  Scenario: An entry VM is paused for seconds
    Guards against callers that are sent to a VM that does not answer, a VM
    that is not listed again after its pause, and keys that run twice. The VM
    gets SIGSTOP, callers use its keys at other VMs, and SIGCONT follows after
    4 s. The other VMs may rely on outdated information about the VM, and the
    VM may act as if it had not been paused.
    Given a fleet of 1 engines, 1 services and 3 entry VMs
    And vm-2 has minted 6 keys
    When vm-2 is sent SIGSTOP
    Then vm-0 and vm-1 no longer list vm-2 within 3.0 s
    When registrations with 3 of the keys are sent to vm-0
    And vm-2 is sent SIGCONT 4.0 s after SIGSTOP
    Then all entry VMs list vm-2 again in the same incarnation
    And vm-2 has logged that it was paused
    When registrations with all the keys are sent to every entry VM
    Then the reported outcome of each registration is correct

  Scenario: An entry VM is killed
    Guards against callers that are still sent to a VM after SIGKILL, with the
    default probe timing: a VM that dies does not announce it, so the others
    have to detect the failure.
    Given a fleet of 4 entry VMs with the default probes
    When vm-3 is killed
    Then vm-0, vm-1 and vm-2 no longer list vm-3 within 5.0 s

  Scenario: An entry VM is restarted under its name
    Guards against a key of the previous process that runs again, and a new
    process that is taken for the dead one. After SIGKILL the VM is started at
    once at the same addresses; two processes of one name must not be taken
    for one.
    Given a fleet of 1 engines, 1 services and 3 entry VMs
    And vm-2 has minted 4 keys
    When registrations with 2 of the keys are sent to vm-2
    And vm-2 is restarted under its name
    Then all entry VMs list vm-2 again in a later incarnation
    When registrations with all the keys are sent to every entry VM
    Then the reported outcome of each registration is correct
    And the registrations sent only after the restart are unknown and did not run

  Scenario: The network is cut between two entry VMs only
    Guards against two VMs that declare each other dead, and report each
    other's keys as lost, although a third VM reaches both. Nothing passes
    between vm-0 and vm-1 for seconds; a VM must not trust its own failed
    probes more than the probes of the others.
    Given a fleet of 3 entry VMs whose network can be cut
    When the network between vm-0 and vm-1 is cut for 6.0 s
    Then no entry VM was declared dead
    And every entry VM lists all entry VMs

  Scenario: Without a third entry VM the same cut looks like a failure
    Shows that the previous scenario's check can fail, and that the two VMs
    recover when the network is restored.
    Given a fleet of 2 entry VMs whose network can be cut
    When the network between vm-0 and vm-1 is cut for 6.0 s
    Then an entry VM was declared dead
    When the network is restored
    Then every entry VM lists all entry VMs within 10.0 s

  Scenario: An entry VM leaves
    Guards against callers that are sent to a VM that is about to stop. The
    VM gets SIGTERM while it serves; it must be removed from the list for
    callers before it ends.
    Given a fleet of 1 engines and 4 entry VMs
    And 2 callers are streaming 100 tokens each at vm-3
    When vm-3 is asked to stop
    Then vm-0, vm-1, vm-2 and vm-3 no longer list vm-3 within 1.0 s
    And vm-3 is still running
    And every answer is whole and no token came twice
    And vm-3 exits with 0
