Feature: A non-idempotent call runs at most once

  Scenario: A caller without the system registers twice
    The naive version, which shows that the checks below can fail.
    Symptom: a registration exists twice and is revoked by hand.
    Events: the answer of a run is lost; the caller sends the call again.
    Cause: nothing tells the second sending from a new call.
    Given a register with 2 services and 1 entry VMs
    When a naive caller registers straight at the services, losing answers
    Then the naive registration ran twice

  Scenario Outline: The answer is lost at the service
    Symptom: a registration exists twice, or its caller is told that it
    did not run.
    Events: <event>; the caller sends the call to every entry VM again.
    Cause: nobody knows whether the lost call ran.
    Given a register with 3 services and 3 entry VMs
    When a registration with a <key> key meets <fault> at the service
    And it is sent again to each entry VM twice
    Then no registration ran twice
    And no caller was told no of a registration that ran
    And that registration ran <runs> times
    And each sending of it was told unknown

    Examples:
      | key    | fault       | runs | event                               |
      | minted | lose_answer | 1    | the run is done, its answer is lost |
      | own    | lose_answer | 1    | the run is done, its answer is lost |
      | minted | die_before  | 0    | the service dies before it runs it  |
      | own    | die_before  | 0    | the service dies before it runs it  |
      | minted | die_after   | 1    | the service dies after it ran it    |
      | own    | die_after   | 1    | the service dies after it ran it    |

  Scenario: A connection falls silent while the call runs
    Symptom: a registration exists twice.
    Events: the call is at the service; its connection swallows the answer
    without a sign; the caller sends it to other entry VMs again.
    Cause: silence is taken for a failure before the run.
    Given a register behind relays with 3 services and 3 entry VMs
    When registrations with each kind of key are cut by silence in the run
    And they are sent again to each entry VM
    Then no registration ran twice
    And no caller was told no of a registration that ran
    And each registration ran once

  Scenario: The minting entry VM stops while calls run
    Symptom: a planned restart doubles or loses registrations.
    Events: calls run for 0.6 s; SIGTERM of the minting entry VM; the
    callers send each call to the others again.
    Cause: the heir and the leaving entry VM both hold the key.
    Given a register with 3 services and 3 entry VMs
    And each service takes 0.6 s for a call
    When 8 registrations of each kind are under way at vm-0
    And vm-0 is asked to stop
    And they are sent again to vm-1 and vm-2 until vm-0 has ended
    Then no registration ran twice
    And no caller was told no of a registration that ran
    And each registration ran once
    And every caller learned in the end that its registration is done

  Scenario: The store is down
    Symptom: registrations stop with the store, or run twice.
    Events: the object API answers nothing but errors, then comes back.
    Cause: whether a caller's own key is new is known to the store alone.
    Given a register with 3 services and 3 entry VMs
    When the object API is down
    And a registration with a minted key is sent to vm-1
    Then the caller is told done at once
    When a vouched registration with an own key is sent to vm-0
    Then claims_unavailable says no and names a time to come back
    When a registration with an own key is sent to vm-0
    Then the caller is told unknown at once
    When the object API is back
    Then the vouched registration runs when it is sent to vm-1
    And no registration ran twice
    And no caller was told no of a registration that ran

  Scenario: The answer to a claim is lost
    Symptom: a claimed registration is refused for ever, or runs twice.
    Events: the store takes the claim, its answer is lost; the caller sends
    the call to each entry VM.
    Cause: the writer doesn't know its own claim when it reads it back.
    Given a register with 3 services and 3 entry VMs
    When the object API loses the answer of each write
    And 4 registrations with own keys are sent to every entry VM at once
    Then no registration ran twice
    And no caller was told no of a registration that ran
    And each registration ran once

  Scenario: The minting entry VM pauses in the middle
    Symptom: a registration runs again when a paused entry VM goes on.
    Events: SIGSTOP for 3 s while calls run; the callers send each call to
    the other entry VMs; SIGCONT; they send them once more.
    Cause: the paused entry VM doesn't know that its time has passed.
    Given a register with 3 services and 3 entry VMs
    And each service takes 0.5 s for a call
    When 6 registrations of each kind are under way at vm-0
    And vm-0 pauses for 3.0 s while they are sent to vm-1 and vm-2
    And they are sent again to each entry VM
    Then no registration ran twice
    And no caller was told no of a registration that ran

  Scenario: The minting entry VM is killed and started again
    Symptom: a registration runs a second time after a crash.
    Events: SIGKILL while calls run; the callers send them to the others;
    an entry VM of the same name starts; they send them to it too.
    Cause: the new process owns the name, but knows nothing of the keys.
    Given a register with 3 services and 3 entry VMs
    And each service takes 0.6 s for a call
    When 6 registrations of each kind are under way at vm-0
    And vm-0 is killed
    And they are sent again to vm-1 and vm-2
    Then every sending again of a minted key was told unknown
    When vm-0 is started again under its name
    And they are sent again to each entry VM
    Then every sending again of a minted key was told unknown
    And no registration ran twice
    And no caller was told no of a registration that ran
    And a new key of vm-0 runs once

  Scenario: Many callers send everything everywhere, again and again
    Symptom: under load a registration now and then exists twice.
    Events: 24 registrations are sent to three entry VMs six times at once
    while services lose answers and one is killed.
    Cause: two sendings pass the same check side by side.
    Given a register with 3 services and 3 entry VMs
    And services lose a fifth of their answers and take 0.1 s
    When 24 registrations are sent everywhere at once and again
    And service-0 is killed in the middle
    Then no registration ran twice
    And no caller was told no of a registration that ran
    And most registrations ran

  Scenario: A repeated call meets a refusal
    Symptom: a caller is told that its registration did not run, makes up
    a new key, and has it twice.
    Events: the call runs and its answer is lost; it is sent again to an
    entry VM that is about to stop and refuses whatever comes.
    Cause: the refusal speaks of this sending and is read as of the call.
    Given a register with 3 services and 3 entry VMs
    When a registration with a minted key meets lose_answer at the service
    And it is sent again to vm-1 while vm-1 stops
    Then no registration ran twice
    And no caller was told no of a registration that ran
