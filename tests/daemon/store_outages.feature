Feature: The fleet keeps its catalogue in force during store outages

  Scenario Outline: Requests are served while the store is <fault>
    Guards against callers that are refused although their runners work,
    because a step of a request waits for the store. While the store is <fault>
    for several seconds, callers send streams, idempotent calls, and
    non-idempotent calls with keys that were minted during the outage.
    Given a fleet of 2 engines, 1 services and 3 entry VMs
    When the store has the fault "<fault>"
    And 4.5 s later 6 callers stream 40 tokens each
    And each entry VM gets an idempotent call
    And each entry VM mints keys for 3 registrations, each sent twice
    Then every answer is whole and no token came twice
    And every idempotent call was answered
    And each registration was answered and ran once
    And the catalogue in force has not changed
    When the store works again
    And an operator puts edit 1 in force
    Then the edit is in force at every entry VM within 3 s

    Examples:
      | fault                |
      | down                 |
      | closing connections  |
      | silent               |
      | slow by 3 s          |
      | throttling all calls |
      | losing answers       |

  Scenario: A key of the caller's own while the store is down
    Guards against a registration that is lost or runs twice. The store is
    down; a caller sends a key of its own, is refused, and sends it again, also
    to another entry VM, until it is accepted. Only the store knows whether
    the key is in use.
    Given a fleet of 1 engines, 1 services and 2 entry VMs
    When the store has the fault "down"
    And a caller registers with a key of its own
    Then the caller is told that the outcome of that key is unknown
    When the caller declares that it has not sent that key before
    Then the registration is refused and was not run
    When the store works again
    Then the caller's registration succeeds soon and ran once

  Scenario: An entry VM restarts while the store is down
    Guards against a restarted VM that refuses every caller because it has no
    catalogue. Operators edit, the store goes down, and an entry VM is killed,
    after which it is started again. The failure occurs if the catalogue is
    read only from the store.
    Given a fleet of 2 engines and 3 entry VMs
    And an operator has put edits 1 to 3 in force
    When the store has the fault "down"
    And vm-1 is killed and started again
    Then vm-1 has the same version in force as before
    And vm-1 streams an answer within 3.0 s

  Scenario: The store is restored with an older version
    Guards against a removed customer that is accepted again. Operators edit;
    the store is lost and restored from a copy made before the edits. The
    failure occurs if the version in the store is taken as the newest.
    Given a fleet of 1 engines and 3 entry VMs
    And an operator has put edits 1 to 5 in force
    And the versions at each entry VM are sampled
    When the store is restored with edit 1
    Then an entry VM reports "StoreBehind"
    When vm-1 is started again while its peers are paused at first
    Then vm-1 has the same version in force as before
    And vm-1 had no older version in force since its start
    And no version decreased and none was partly in force
    And the catalogue in force has not changed

  Scenario: An edit of a restored store is not reported as in force
    Guards against an operator who is told that an edit is in force although it
    is not. The store is restored from an old copy, and an operator edits it.
    The fleet's version is higher than that of the edit, so the condition
    "this version or a later one" holds for the wrong document.
    Given a fleet of 1 engines and 2 entry VMs
    And an operator has put edits 1 to 5 in force
    And an operator's command line for that fleet
    When the store is restored with edit 1
    And the operator applies edit 6
    And the operator waits 3 s for that version
    Then the command exits with 6 and complains "the store went back"
    And the operator sees edit 5 in force
    When the store's version has reached the one in force
    And the operator applies edit 7
    And the operator waits 3 s for that version
    Then the command exits with 0 and prints "vm-1"
    And the operator sees edit 7 in force

  Scenario: Rapid edits come into force completely and in order
    Guards against an edit that is briefly only partly in force, and against an
    old version that returns. There are 20 edits in a row, each of two
    customers' keys. The failure occurs if parts of a document are applied one
    by one, or if a late answer overwrites a newer one.
    Given a fleet of 1 engines and 3 entry VMs
    And an operator's command line for that fleet
    And the versions at each entry VM are sampled
    When the operator applies 20 edits and waits 3 s at most for each
    Then each edit was in force at every entry VM in time
    And no version decreased and none was partly in force

  Scenario: A naive follower of the store
    Shows that the check for decreasing and partial versions can fail. The
    naive follower polls the store and applies one item after another.
    Given a naive follower of a store with edit 1
    And the versions at the naive follower are sampled
    When 20 edits are stored in a row
    And the naive follower's store is restored with edit 1
    Then a version decreased and one was partly in force

  Scenario: An invalid document is stored by another tool
    Guards against a fleet that refuses every caller after a mistake. An
    invalid document is written directly to the store, and a valid one follows.
    The failure occurs if a document is applied before it is checked.
    Given a fleet of 2 engines and 3 entry VMs
    When an invalid document is stored
    Then an entry VM reports "Invalid"
    And the catalogue in force has not changed
    When 0.1 s later 3 callers stream 10 tokens each
    Then every answer is whole and no token came twice
    When an operator puts edit 1 in force
    Then the edit is in force at every entry VM within 3 s

  Scenario: Two operators edit the same version at the same time
    Guards against an edit that is lost silently. Two operators concurrently
    apply documents that are based on the same version. The failure occurs if
    the second write does not check the version that it replaces.
    Given a fleet of 1 engines and 2 entry VMs
    And an operator's command line for that fleet
    When two operators apply edits of the same version at the same time
    Then one command exits with 0 and the other with 4
    And the failed command prints the difference
    And the successful edit is in force at every entry VM within 3 s

  Scenario: The answer to an operator's edit is lost
    Guards against an edit that is reported as failed although it was made, or
    that is made twice. The store executes both writes and loses both answers.
    The failure occurs if a lost answer is treated as a failed write.
    Given a fleet of 1 engines and 2 entry VMs
    And an operator's command line for that fleet
    When the store loses the next 2 answers
    And the operator applies edit 1
    Then the command exits with 0 and prints "version="
    And the edit is in force at every entry VM within 3 s
    And the history contains that edit once

  Scenario: The store compacts its history past the watched revision
    Guards against edits that come into force only after a restart. The store
    compacts its history past the watched revision, and an edit follows at
    once. The failure occurs if the watch is repeated from the same revision.
    Given a fleet of 1 engines and 3 entry VMs
    When the store has compacted its history
    And an operator puts edit 1 in force
    Then the edit is in force at every entry VM within 3 s

  Scenario: Open connections to the store go silent for good
    Guards against an edit that comes into force only after many seconds. A
    device between the entry VMs and the store loses the state of all open
    connections, while new ones work, and an operator edits. The watches wait
    on connections that deliver nothing.
    Given a fleet of 1 engines and 3 entry VMs with a relay at the store
    When all open connections to the store go silent
    And an operator puts edit 1 in force
    Then the edit is in force at every entry VM within 3 s
