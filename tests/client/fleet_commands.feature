Feature: What operators read back from a fleet that runs

  Scenario: Each command in JSON tells what the fleet did
    Given a fleet of 2 engines with prices and 3 entry VMs
    And an operator's command line for that fleet
    And 6 callers are streaming 10 tokens each
    Then every answer is whole and no token came twice
    And in JSON the status is that of the entry VM that was asked
    And in JSON the entries are all the entry VMs
    And in JSON the histograms hold 6 first tokens of ana in class desk
    And in JSON the cost is that of 6 requests of ana to drafts
    And in JSON the version in force is the store's at every entry VM

  Scenario: A version that does not come
    Given a fleet of 1 engines and 2 entry VMs
    And an operator's command line for that fleet
    When the operator runs "in-force --wait 999 --timeout 0.5"
    Then the command exits with 6 and complains "not in force at vm-0, vm-1"
    When the operator runs "in-force --wait 999 --timeout 0.5 --json"
    Then the command exits with 6 and prints ""exit_code": 6"

  Scenario: An entry VM stands still while an operator edits
    Symptom: an operator waits for ever, or is told that all have it.
    Events: an entry VM stands still for seconds during an edit.
    Cause: it is waited for, or it is left out for good.
    Given a fleet of 1 engines and 3 entry VMs
    And an operator's command line for that fleet
    When vm-2 stands still
    And the operator runs "catalogue delete summaries"
    And the operator waits until that version is in force
    Then the command exits with 0 and prints "vm-1"
    And the answer does not name vm-2
    When vm-2 runs on 2.0 s after it stood still
    Then within 3.0 s vm-2 is named with that version

  Scenario: No entry VM answers
    Given a fleet of 1 engines and 1 entry VMs
    And an operator's command line for that fleet
    When vm-0 is killed
    Then in-force, status, entries, histograms and cost exit with 5
