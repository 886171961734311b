Feature: The ledger of idempotency keys

  Scenario: No sequence of faults runs a key twice
    Then no key runs twice in 400 sequences on the ledger

  Scenario Outline: A naive ledger runs a key twice
    Checks that the search finds the faults of naive ledgers, which run a call
    such as a registration twice.

    Then some sequence on the <kind> ledger runs a key twice or reports falsely

    Examples:
      | kind      | events                           | cause                        |
      | retrying  | a call runs after its timeout    | a timeout counts as not run  |
      | local     | a call is resent to another VM   | each VM has its own table    |
      | repeating | the successor's receipt is lost  | the VM unfreezes its ledger  |

  Scenario: The successor's receipt is lost
    Guards against a registration that runs twice after a planned stop. A VM
    hands over its ledger, the receipt is lost and the caller sends its key to
    both VMs. The old VM can't tell whether the successor has the ledger.

    Given a simulated fleet with a key minted by VM "a"
    When VM "a" hands its ledger to VM "b" and the receipt is lost
    And the call with the key is sent to VM "a"
    Then the ledger forwards the call to VM "b"
    When the messages between the VMs arrive
    Then 1 run is reserved, on VM "b"

  Scenario: A refusal by a later incarnation allows no other successor
    Guards against a key that runs on two successors. The first adopts the
    ledger, runs the key and restarts. Its new incarnation refuses a repeated
    copy, and the refusal is mistaken for one of the old incarnation.

    Given a simulated fleet with a key minted by VM "a"
    When VM "a" hands its ledger to VM "b" and the receipt is lost
    And VM "b" crashes and restarts
    And the new incarnation of VM "b" refuses the ledger of VM "a"
    And VM "a" hands its ledger to VM "c"
    And the call with the key is sent to VM "c"
    Then the ledger refuses with "key_forgotten", executed "unknown"

  Scenario: The keys of a crashed VM are never run again
    Guards against a pass that is issued twice. The VM that minted the key
    crashes while the call is in transit and restarts under the same name. Its
    ledger is lost, so the new one does not know about the run.

    Given a simulated fleet with a key minted by VM "a"
    When the call with the key is sent to VM "a"
    And its call is sent to the upstream
    And VM "a" crashes and restarts
    And the call with the key is sent to VM "a"
    Then the ledger refuses with "key_owner_gone", executed "unknown"

  Scenario: The outcome of a key whose entry was dropped is unknown
    Given a simulated fleet with a key minted by VM "a"
    When the call with the key is sent to VM "a"
    And its call is sent to the upstream
    And the upstream answers and the worker reports
    And VM "a" answers 8 other calls with keys
    And the call with the key is sent to VM "a"
    Then the ledger refuses with "key_forgotten", executed "unknown"

  Scenario: A different call under a key that is being claimed
    Guards against a false "not executed". VM a claims a key for one call and
    sends that call while VM b is still claiming the key for another one. The
    first call is resent to b, which reports a conflict with its lost claim.

    Given a simulated fleet with a key chosen by the caller
    When the call "register" is sent to VM "a" and claimed
    And its call is sent to the upstream
    And the call "revoke" is sent to VM "b"
    And the call "register" is sent to VM "b"
    Then the ledger answers that a run is in progress

  Scenario: A key is refused while the store is down
    Given a simulated fleet with a key chosen by the caller
    And the store of the claims is down
    When the call "register" is sent to VM "a" and claimed
    Then the ledger refuses with "store_unavailable", executed "unknown"

  Scenario: The store is down and the caller guarantees a first send
    Given a simulated fleet with a key chosen by the caller
    And the store of the claims is down
    When the first call "register" is sent to VM "a" and claimed
    Then the ledger refuses with "store_unavailable", executed "no"

  Scenario: A key of another customer is refused
    Given a simulated fleet with a key minted by VM "a"
    When another customer sends the key to VM "a"
    Then the ledger refuses with "key_of_another_customer", executed "no"

  Scenario: The outcome of a run without a report becomes unknown
    Given a simulated fleet with a key minted by VM "a"
    When the call with the key is sent to VM "a"
    And its call is sent to the upstream
    And the simulated fleet waits 700 seconds
    And the call with the key is sent to VM "a"
    Then the ledger refuses with "outcome_unknown", executed "unknown"
