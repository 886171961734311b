Feature: Records of members

  Scenario: The order in which records arrive does not matter
    Then any order of the same records gives the same roster

  Scenario: With the last record winning it does matter
    Then some order of the same records misleads a last-one-wins roster

  Scenario: A suspicion that had not heard of a leave does not undo it
    Given a roster that heard that "a" leaves
    When the roster hears a suspicion of "a" from before
    Then the roster holds "a" for suspect and leaving

  Scenario: The dead are remembered for a while
    Given a roster that heard of the death of "a"
    When an older roster record says that "a" is alive
    Then the roster holds "a" for dead
    When the roster's tombstones have run out
    Then the roster knows nothing of "a"
