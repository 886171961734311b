Feature: Edits of the catalogue

  Scenario: A merge keeps what the overlay does not name
    When a catalogue edit merges the Consorzio's example into Procurador's
    Then the edited catalogue equals the example of both

  Scenario Outline: Edits collide only where they change the same thing
    Then the catalogue edits <mine> and <theirs> <verdict>

    Examples:
      | mine                    | theirs                   | verdict       |
      | entries.registo-app     | entries.clause-summary   | don't collide |
      | entries.registo-app     | entries.registo-app      | collide       |
      | classes.register        | entries.registo-app      | don't collide |

  Scenario: The history is bounded, and an edit stays known while it is kept
    When a catalogue is edited 60 times
    Then its history holds the 50 versions before the last
    And the catalogue edit 10 is still shown and the edit 9 is not
    And the catalogue versions 9, 8 and 7 are named as expired

  Scenario: What another tool wrote under "edit" does no harm
    Given a catalogue object whose edit is {"history": "none", "id": 5}
    Then the catalogue version has its document and no history
