Feature: Entry VMs know of each other what callers need to know

  Scenario: An entry VM stands still for seconds
    Symptom: callers are sent to a VM that does not answer, or a VM that
    came back is shunned, or its keys are run twice.
    Events: SIGSTOP; callers use its keys elsewhere; SIGCONT after 4 s.
    Cause: the others trust an old word of it, or it trusts its own clock.
    Given a fleet of 1 engines, 1 services and 3 entry VMs
    And vm-2 has minted 6 keys
    When vm-2 stands still
    Then vm-0 and vm-1 name vm-2 no longer within 3.0 s
    When registrations with 3 of the keys are sent to vm-0
    And vm-2 runs on 4.0 s after it stood still
    Then all entry VMs name vm-2 again in the same incarnation
    And vm-2 knows that it was paused
    When registrations with all the keys are sent to every entry VM
    Then what was told of each registration is true

  Scenario: An entry VM is killed
    Symptom: callers go on to be sent to a dead VM.
    Events: SIGKILL, with the probes as they are by default.
    Cause: nobody tells that a VM died; the others have to find out.
    Given a fleet of 4 entry VMs with the default probes
    When vm-3 is killed
    Then vm-0, vm-1 and vm-2 name vm-3 no longer within 5.0 s

  Scenario: An entry VM is started again under its name
    Symptom: a key of the ended process is run again, or the new process
    is taken for the dead one.
    Events: SIGKILL and a start at the same addresses at once.
    Cause: two processes of one name are taken for one.
    Given a fleet of 1 engines, 1 services and 3 entry VMs
    And vm-2 has minted 4 keys
    When registrations with 2 of the keys are sent to vm-2
    And vm-2 is started again under its name
    Then all entry VMs name vm-2 again in a later incarnation
    When registrations with all the keys are sent to every entry VM
    Then what was told of each registration is true
    And no registration whose outcome was unknown ran later

  Scenario: The network is cut between two entry VMs only
    Symptom: two VMs hold each other for dead, and their keys are told to
    be lost, though a third VM reaches both.
    Events: nothing passes between vm-0 and vm-1 for seconds.
    Cause: one's own eyes are believed over everybody else's.
    Given a fleet of 3 entry VMs whose network can be cut
    When the network between vm-0 and vm-1 is cut for 6.0 s
    Then no entry VM was held to be dead
    And every entry VM names all of them

  Scenario: With nobody between them the same cut is taken for death
    It shows that the check above can fail, and that a cut heals.
    Given a fleet of 2 entry VMs whose network can be cut
    When the network between vm-0 and vm-1 is cut for 6.0 s
    Then an entry VM was held to be dead
    When the network is whole again
    Then every entry VM names all of them within 10.0 s

  Scenario: An entry VM leaves
    Symptom: callers are sent to a VM that is about to stop.
    Events: SIGTERM while it serves.
    Cause: the list that callers get is changed only when the VM is gone.
    Given a fleet of 1 engines and 4 entry VMs
    And 2 callers are streaming 100 tokens each at vm-3
    When vm-3 is asked to stop
    Then vm-0, vm-1, vm-2 and vm-3 name vm-3 no longer within 1.0 s
    And vm-3 still runs
    And every answer is whole and no token came twice
    And vm-3 exits with 0
