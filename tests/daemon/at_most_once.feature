Feature: A non-idempotent call runs at most once

  Scenario: A caller without the system registers twice
    Shows that the check for repeated registrations can fail. The answer to a
    registration is lost and the caller sends it again; without the system,
    nothing identifies the second call as a repetition.
    Given a registry of 2 services and 1 entry VMs
    When a caller without the system registers and loses the answers
    Then the registration without the system ran twice

  Scenario Outline: The answer is lost at the service
    Guards against a registration that runs twice, or that is reported as not
    executed although it ran, when <event> and the caller
    repeats the call at every entry VM: nobody knows whether the call ran.
    Given a registry of 3 services and 3 entry VMs
    When a registration with a <key> key hits fault <fault> at the service
    And the registration is sent again to each entry VM twice
    Then no registration ran twice
    And no registration that ran was reported as not executed
    And the registration ran <runs> times
    And each attempt at the registration was reported as unknown

    Examples:
      | key    | fault       | runs | event                                    |
      | minted | lose_answer | 1    | the call has run and its answer is lost  |
      | own    | lose_answer | 1    | the call has run and its answer is lost  |
      | minted | die_before  | 0    | the service dies before it runs the call |
      | own    | die_before  | 0    | the service dies before it runs the call |
      | minted | die_after   | 1    | the service dies after it ran the call   |
      | own    | die_after   | 1    | the service dies after it ran the call   |

  Scenario: A connection falls silent while the call runs
    Guards against a registration that runs twice when the connection to the
    service drops the answer without an error while the call runs, because
    the silence is taken for a failure before the run.
    Given a registry of 3 services behind relays and 3 entry VMs
    When connections fall silent while registrations with each kind of key run
    And the registrations are sent again to each entry VM
    Then no registration ran twice
    And no registration that ran was reported as not executed
    And each registration ran once

  Scenario: The minting entry VM stops while calls run
    Guards against registrations that are lost or run twice in a planned
    restart: the VM gets SIGTERM while calls of 0.6 s run, the callers repeat
    them elsewhere, and the successor and the leaving VM both hold the keys.
    Given a registry of 3 services and 3 entry VMs
    And each service takes 0.6 s for a call
    When 8 registrations with each kind of key are in progress at vm-0
    And vm-0 is asked to stop
    And the registrations are sent again to vm-1 and vm-2 until vm-0 has ended
    Then no registration ran twice
    And no registration that ran was reported as not executed
    And each registration ran once
    And the last two attempts at every registration were reported as done

  Scenario: The store is down
    Guards against registrations that stop with the store or run twice. While
    the object API answers every call with an error, nobody can check whether
    a caller's own key is new; only the store knows that.
    Given a registry of 3 services and 3 entry VMs
    When the object API is down
    And a registration with a minted key is sent to vm-1
    Then the caller is told done at once
    When a declared first attempt with an own key is sent to vm-0
    Then the caller gets claims_unavailable, not executed, with a time to retry
    When a registration with an own key is sent to vm-0
    Then the caller is told unknown at once
    When the object API works again
    Then the declared first attempt runs once when it is sent to vm-1
    And no registration ran twice
    And no registration that ran was reported as not executed

  Scenario: The answer to a claim is lost
    Guards against a registration that is refused for ever or runs twice when
    the store accepts a claim but its answer is lost, and the writer does not
    recognise its own claim when it reads it back.
    Given a registry of 3 services and 3 entry VMs
    When the object API loses the answer of each write
    And 4 registrations with own keys are sent to every entry VM at once
    Then no registration ran twice
    And no registration that ran was reported as not executed
    And each registration ran once

  Scenario: The minting entry VM is paused while calls run
    Guards against a registration that runs again when an entry VM continues
    after a SIGSTOP of 3 s, without knowing that it was paused, while the
    callers repeated its calls at the other entry VMs.
    Given a registry of 3 services and 3 entry VMs
    And each service takes 0.5 s for a call
    When 6 registrations with each kind of key are in progress at vm-0
    And vm-0 pauses for 3.0 s while the registrations go to vm-1 and vm-2
    And the registrations are sent again to each entry VM
    Then no registration ran twice
    And no registration that ran was reported as not executed

  Scenario: The minting entry VM is killed and restarted
    Guards against a registration that runs again after SIGKILL of its entry
    VM: the new process has the same name but lost all keys, and the callers
    repeat their calls at every entry VM.
    Given a registry of 3 services and 3 entry VMs
    And each service takes 0.6 s for a call
    When 6 registrations with each kind of key are in progress at vm-0
    And vm-0 is killed
    And the registrations are sent again to vm-1 and vm-2
    Then every repeated call with a minted key was reported as unknown
    When vm-0 is restarted under the same name
    And the registrations are sent again to each entry VM
    Then every repeated call with a minted key was reported as unknown
    And no registration ran twice
    And no registration that ran was reported as not executed
    And a registration with a new key of vm-0 runs once

  Scenario: Many callers repeat their calls at every entry VM
    Guards against two copies of a call that pass the same check concurrently.
    Each of 24 registrations is sent six times at once to three entry VMs
    while services lose answers and one service is killed.
    Given a registry of 3 services and 3 entry VMs
    And services lose a fifth of their answers and take 0.1 s for a call
    When 24 registrations are sent to every entry VM twice at the same time
    And service-0 is killed while the registrations run
    Then no registration ran twice
    And no registration that ran was reported as not executed
    And most registrations ran

  Scenario: A repeated call is refused
    Guards against a caller that registers twice under two keys: the answer to
    its call is lost, and a stopping entry VM refuses the repetition. The
    refusal is about this attempt, but the caller applies it to the call.
    Given a registry of 3 services and 3 entry VMs
    When a registration with a minted key hits fault lose_answer at the service
    And the registration is sent again to vm-1 while vm-1 stops
    Then no registration ran twice
    And no registration that ran was reported as not executed
