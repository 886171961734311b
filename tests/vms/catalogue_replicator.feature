Feature: Catalogue replication

  Scenario: The version in force only rises, whatever the order of answers
    Then any order of answers leaves the greatest version in force

  Scenario: A naive replicator reverts to an older version
    Then some order of answers reverts a replicator that takes any answer

  Scenario: A delta leads to the same document as the whole
    Then for any two documents the delta leads to the new one

  Scenario: A change reaches every VM
    Given a replicating fleet of 9 VMs in 3 data centres
    When an operator changes the replicated catalogue
    Then within 3 s it is in force at every replicating VM

  Scenario: A VM that starts while the store is down
    Symptom: a new entry VM serves an old catalogue, or none.
    Events: the store goes down; a VM starts.
    Cause: the VM can't read the catalogue from the store.
    Given a replicating fleet of 9 VMs in 3 data centres
    When the replicated store goes down and a VM starts
    Then within 10 s it is in force at every replicating VM

  Scenario: A data centre cut off from the store
    Symptom: one data centre keeps the old catalogue.
    Events: the watches of its watchers fail; those of others don't.
    Cause: no watch in that data centre reports the change.
    Given a replicating fleet of 9 VMs in 3 data centres
    When the catalogue watchers of "d0" lose the store
    And an operator changes the replicated catalogue
    Then within 3 s it is in force at every replicating VM

  Scenario: A store that returns with an older version
    Symptom: a limit that was withdrawn is in force again.
    Events: the store is restored from a backup; a watch delivers it.
    Cause: the newest answer is not the newest version.
    Given a replicator with version 5 in force
    When the replicator's store returns version 3
    Then version 5 stays in force and the older store is reported

  Scenario: Two documents with the same version number
    Symptom: two halves of the fleet serve by different catalogues.
    Events: the store is restored and assigns a version number again.
    Cause: the number alone does not identify the document.
    Given a replicator with version 5 in force
    When the replicator's store returns another document as version 5
    Then version 5 stays in force and the clash is reported once
    When a peer mentions version 5 with another digest
    Then version 5 stays in force and the clash is reported once

  Scenario: An invalid document leaves the old one in force
    Given a replicator with version 5 in force
    When the replicator's store returns an invalid document as version 6
    Then version 5 stays in force and the invalid one is reported once
    And a valid version 7 is put in force

  Scenario: A change in a rumour with another base version is fetched
    Given a replicator with version 5 in force
    When a rumour brings version 8 as a change of version 7
    Then the replicator fetches from the VM that passed it on
    And a failed fetch is retried at a random VM

  Scenario: A document altered in transit is rejected
    Given a replicator with version 5 in force
    When a peer sends version 6 with a wrong digest
    Then version 5 stays in force and the invalid one is reported once
