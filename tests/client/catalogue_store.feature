Feature: Editing the catalogue in the store

  Background:
    Given a catalogue store holding Procurador's example

  Scenario: The loser of a race sees the difference
    Symptom: a colleague's edit vanishes without a word.
    Events: two operators read one version, edit it and apply it in turn.
    Cause: the second was made from a version that is no longer in force.
    Given two operators who read the catalogue
    When the first operator applies 5.0 as the weight of "belem"
    And the second operator applies 7.0 as the weight of "alfama"
    Then the second operator's edit is lost
    And the lost edit shows that it would change customers.belem.weight back
    And the weight of "belem" in force is 5.0

  Scenario: Without the condition the first edit would be gone
    Given two operators who read the catalogue
    When the first operator applies 5.0 as the weight of "belem"
    And the second operator writes 7.0 as the weight of "alfama" blindly
    Then the weight of "belem" in force is 3.0

  Scenario: Merges of different parts both come into force
    When 8 operators at once merge a customer each
    Then all 8 customers are in force
    And the catalogue history names each of the 8 edits

  Scenario: Merges of the same part leave the decision to the operator
    Given another operator sets the weight of "belem" during the next write
    When an operator merges another weight of "belem"
    Then the operator's edit is lost

  Scenario: An edit whose answer was lost is recognised
    Symptom: the client reports a lost race against its own edit.
    Events: the write takes effect, its answer is lost, another edit follows.
    Cause: the version in force is neither the old one nor the client's.
    Given the store loses the answer of the edit and another edit follows
    When an operator applies 5.0 as the weight of "belem"
    Then the edit is reported with the version that it got
    And the weight of "belem" in force is 5.0

  Scenario: With the store gone the outcome is told to be unknown
    Given the store loses the answer of the edit and is then down
    When an operator applies 5.0 as the weight of "belem"
    Then the edit's outcome is unknown
    And the weight of "belem" in force is 5.0 once the store is up

  Scenario: A crash between the two writes loses and reverts nothing
    Symptom: a version can't be shown any more, or an old one is in force.
    Events: the client dies after its first write, before the second.
    Cause: an edit needs two writes and the store has no transaction.
    Given the client dies between its two writes
    When an operator applies 5.0 as the weight of "belem"
    Then the weight of "belem" in force is 3.0
    When an operator applies 6.0 as the weight of "belem"
    Then the weight of "belem" in force is 6.0
    And the catalogue history shows the weights 6.0 and 3.0 of "belem"

  Scenario: Old versions are deleted
    When an operator applies 56 weights of "belem"
    Then the store holds 50 objects of catalogue history
