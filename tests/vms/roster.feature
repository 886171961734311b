Feature: Records of members

  Scenario: The order in which records arrive does not matter
    Then any order of the same records gives the same roster

  Scenario: The order matters for a roster in which the last record wins
    Then some order of the same records gives a wrong last-record-wins roster

  Scenario: A suspicion by a VM that does not know of a leave does not undo it
    Given a roster that knows that "a" leaves
    When the roster receives a suspicion of "a" without the leave
    Then the roster records "a" as suspect and leaving

  Scenario: The records of dead VMs are kept for a while
    Given a roster that recorded the death of "a"
    When an older roster record says that "a" is alive
    Then the roster still records "a" as dead
    When the roster's tombstones have expired
    Then the roster has no record of "a"
