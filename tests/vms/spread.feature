Feature: Configuration spread

  Scenario: Versions only rise, whatever answers come in what order
    Then any order of answers leaves the greatest version in force

  Scenario: The naive spread reverts
    Then some order of answers reverts a spread that takes any answer

  Scenario: A delta leads to the same document as the whole
    Then for any two documents the delta gives the new one

  Scenario: A change reaches every VM
    Given a spread fleet of 9 VMs in 3 data centres
    When an operator changes the spread catalogue
    Then within 3 s it is in force at every spread VM

  Scenario: A VM that starts while the store is down
    Symptom: a new entry VM serves an old catalogue, or none.
    Events: the store goes down; a VM starts.
    Cause: the store cannot be asked.
    Given a spread fleet of 9 VMs in 3 data centres
    When the spread store goes down and a VM starts
    Then within 10 s it is in force at every spread VM

  Scenario: A data centre cut off from the store
    Symptom: one data centre goes on with the old catalogue.
    Events: its watchers' watches are dead; the others' are not.
    Cause: no watch there tells of the change.
    Given a spread fleet of 9 VMs in 3 data centres
    When the spread watchers of "d0" lose the store
    And an operator changes the spread catalogue
    Then within 3 s it is in force at every spread VM

  Scenario: A store that comes back with an older version
    Symptom: a withdrawn limit is suddenly in force again.
    Events: the store is restored from a copy; a watch delivers it.
    Cause: the newest answer is not the newest version.
    Given a spread with version 5 in force
    When the spread store shows version 3
    Then version 5 stays in force and the older store is reported

  Scenario: Two documents under one version
    Symptom: two halves of the fleet serve by different catalogues.
    Events: the store is restored and hands out a version number again.
    Cause: the number alone does not tell the documents apart.
    Given a spread with version 5 in force
    When the spread store shows another document as version 5
    Then version 5 stays in force and the clash is reported once
    When a peer mentions version 5 with another digest
    Then version 5 stays in force and the clash is reported once

  Scenario: A document of bad form leaves the old one in force
    Given a spread with version 5 in force
    When the spread store shows a bad document as version 6
    Then version 5 stays in force and the bad one is reported once
    And a good version 7 is taken

  Scenario: A rumour whose change does not fit is fetched
    Given a spread with version 5 in force
    When a rumour brings version 8 as a change of version 7
    Then the spread fetches from the VM that passed it on
    And a failed fetch is tried again at another VM

  Scenario: A changed document on the way is not taken
    Given a spread with version 5 in force
    When a peer gives version 6 with a wrong digest
    Then version 5 stays in force and the bad one is reported once
