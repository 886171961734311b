Feature: Querying a running fleet from the command line

  Scenario: Each command reports the state of the fleet in JSON
    Given a fleet of 2 engines with prices and 3 entry VMs
    And an operator's command line for that fleet
    And 6 callers are streaming 10 tokens each
    Then every answer is whole and no token came twice
    And in JSON the status is that of the queried entry VM
    And in JSON the entries are all entry VMs
    And in JSON the histograms count 6 first tokens of ana in class desk
    And in JSON the cost is that of 6 requests of ana to drafts
    And in JSON every entry VM has the store's version in force

  Scenario: Waiting for a version that never comes into force times out
    Given a fleet of 1 engines and 2 entry VMs
    And an operator's command line for that fleet
    When the operator runs "in-force --wait 999 --timeout 0.5"
    Then the command exits with 6 and complains "not in force at vm-0, vm-1"
    When the operator runs "in-force --wait 999 --timeout 0.5 --json"
    Then the command exits with 6 and prints ""exit_code": 6"

  Scenario: An entry VM is suspended while an operator edits the catalogue
    Guards against a wait that never ends because it includes the suspended
    VM, and against a report that excludes the VM after it has resumed and so
    wrongly says that all VMs have the version.
    Given a fleet of 1 engines and 3 entry VMs
    And an operator's command line for that fleet
    When vm-2 is sent SIGSTOP
    And the operator runs "catalogue delete summaries"
    And the operator waits until that version is in force
    Then the command exits with 0 and prints "vm-1"
    And the output does not name vm-2
    When vm-2 is sent SIGCONT 2.0 s after SIGSTOP
    Then within 3.0 s the output names vm-2 with that version

  Scenario: Commands fail if no entry VM answers
    Given a fleet of 1 engines and 1 entry VMs
    And an operator's command line for that fleet
    When vm-0 is killed
    Then in-force, status, entries, histograms and cost exit with 5
