Feature: The ledger of idempotency keys

  Scenario: No sequence of faults runs a key twice
    Then no key runs twice in 400 sequences on the ledger

  Scenario Outline: A naive ledger runs a key twice
    Symptom: a registration is made twice.
    Events: <events>.
    Cause: <cause>.

    Then some sequence on the <kind> ledger runs a key twice or lies

    Examples:
      | kind      | events                        | cause                |
      | retrying  | a timeout, then a late run    | timeout taken for no |
      | local     | a resend to another VM        | a table per VM       |
      | repeating | the heir's receipt gets lost  | handover taken back  |

  Scenario: The heir's receipt is lost
    Symptom: a registration is made twice after a planned stop.
    Events: a VM hands its ledger over, the receipt gets lost, and the caller
    sends its key to both VMs.
    Cause: the old VM can't tell whether the heir has the ledger.

    Given a keyed fleet with a key minted by VM "a"
    When VM "a" hands its ledger to VM "b" and the receipt is lost
    And the keyed call is sent to VM "a"
    Then the ledger answers with a forward to VM "b"
    When the messages between the VMs arrive
    Then 1 keyed attempt is reserved, on VM "b"

  Scenario: A refusal by a later incarnation frees nothing
    Symptom: a key runs on two heirs.
    Events: the heir adopts the ledger, runs the key and restarts; its new
    incarnation refuses the copy that was sent again.
    Cause: the refusal was taken for the word of the first incarnation.

    Given a keyed fleet with a key minted by VM "a"
    When VM "a" hands its ledger to VM "b" and the receipt is lost
    And VM "b" crashes and is back
    And a receipt of the new VM "b" refuses the ledger of VM "a"
    And VM "a" hands its ledger to VM "c"
    And the keyed call is sent to VM "c"
    Then the ledger refuses with "key_forgotten", executed "unknown"

  Scenario: A crashed VM's keys are never run again
    Symptom: a pass is issued twice.
    Events: the VM that minted the key crashes while the call is on the
    wire. It comes back under its old name.
    Cause: its ledger is gone, so the new one can't know of the run.

    Given a keyed fleet with a key minted by VM "a"
    When the keyed call is sent to VM "a"
    And its attempt is put on the wire
    And VM "a" crashes and is back
    And the keyed call is sent to VM "a"
    Then the ledger refuses with "key_owner_gone", executed "unknown"

  Scenario: A key whose entry was dropped is unknown
    Given a keyed fleet with a key minted by VM "a"
    When the keyed call is sent to VM "a"
    And its attempt is put on the wire
    And the upstream answers and the worker reports
    And VM "a" answers 8 other keyed calls
    And the keyed call is sent to VM "a"
    Then the ledger refuses with "key_forgotten", executed "unknown"

  Scenario: A different call under a key that is being claimed
    Symptom: a caller is told that its call was not run, and it was.
    Events: VM b waits for the store to claim a key for one call, while VM a
    has claimed it for another and sent it; that one is sent again to b.
    Cause: b judged the conflict by its own claim, which it lost.

    Given a keyed fleet whose caller made up a key
    When the call "register" is sent to VM "a" and claimed
    And its attempt is put on the wire
    And the call "revoke" is sent to VM "b"
    And the call "register" is sent to VM "b"
    Then the ledger answers that it is pending

  Scenario: The store is down
    Given a keyed fleet whose caller made up a key
    And the claims' store is down
    When the call "register" is sent to VM "a" and claimed
    Then the ledger refuses with "store_unavailable", executed "unknown"

  Scenario: The store is down and the caller vouches for its first send
    Given a keyed fleet whose caller made up a key
    And the claims' store is down
    When the first call "register" is sent to VM "a" and claimed
    Then the ledger refuses with "store_unavailable", executed "no"

  Scenario: Another customer's key
    Given a keyed fleet with a key minted by VM "a"
    When another customer sends the key to VM "a"
    Then the ledger refuses with "key_of_another_customer", executed "no"

  Scenario: A run that nobody reports on becomes unknown
    Given a keyed fleet with a key minted by VM "a"
    When the keyed call is sent to VM "a"
    And its attempt is put on the wire
    And the keyed fleet waits 700 seconds
    And the keyed call is sent to VM "a"
    Then the ledger refuses with "outcome_unknown", executed "unknown"
