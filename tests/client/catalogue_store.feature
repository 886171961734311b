Feature: Editing the catalogue in the store

  Background:
    Given a catalogue store with Procurador's example

  Scenario: An edit that conflicts is rejected and shows the differences
    Guards against an edit that silently reverts another operator's edit.
    Two operators edit the same version and apply their edits in turn; the
    second edit is based on a version that is no longer in force.
    Given two operators who read the catalogue
    When the first operator applies 5.0 as the weight of "belem"
    And the second operator applies 7.0 as the weight of "alfama"
    Then the second operator's edit is rejected as a conflict
    And the rejected edit shows that it would change customers.belem.weight back
    And the weight of "belem" in force is 5.0

  Scenario: Without the version condition, the first edit would be lost
    Given two operators who read the catalogue
    When the first operator applies 5.0 as the weight of "belem"
    And the second operator writes 7.0 as the weight of "alfama" unconditionally
    Then the weight of "belem" in force is 3.0

  Scenario: Concurrent merges of different parts all come into force
    When 8 operators merge one customer each at the same time
    Then all 8 customers are in force
    And the catalogue history names the editor of each of the 8 edits

  Scenario: Concurrent merges of the same part conflict
    Given another operator sets the weight of "belem" during the next write
    When an operator merges another weight of "belem"
    Then the operator's edit is rejected as a conflict

  Scenario: An edit whose response was lost is recognised
    Guards against a client that reports a conflict with its own edit.
    The write takes effect, its response is lost and another edit follows, so
    the version in force is neither the old one nor the client's.
    Given the store loses the response to the edit and another edit follows
    When an operator applies 5.0 as the weight of "belem"
    Then the edit is reported with its own version
    And the weight of "belem" in force is 5.0

  Scenario: The outcome is unknown if the store fails after a lost response
    Given the store loses the response to the edit and is then down
    When an operator applies 5.0 as the weight of "belem"
    Then the edit's outcome is unknown
    And the weight of "belem" in force is 5.0 once the store is up

  Scenario: A crash between the two writes loses and reverts nothing
    Guards against a lost version, or an old version coming into force again.
    An edit takes two writes and the store has no transactions, so the client
    can crash after the first write and before the second.
    Given the client crashes between its two writes
    When an operator applies 5.0 as the weight of "belem"
    Then the weight of "belem" in force is 3.0
    When an operator applies 6.0 as the weight of "belem"
    Then the weight of "belem" in force is 6.0
    And the catalogue history shows the weights 6.0 and 3.0 of "belem"

  Scenario: Old versions are deleted from the history
    When an operator applies 56 weights of "belem"
    Then the store holds 50 objects of catalogue history
