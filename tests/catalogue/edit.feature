Feature: Edits of the catalogue

  Scenario: A merge keeps the items that the overlay does not contain
    When a catalogue edit merges the Consorzio's example into Procurador's
    Then the edited catalogue equals the example of both

  Scenario Outline: Edits collide only if they change the same item
    Then the catalogue edits <mine> and <theirs> <verdict>

    Examples:
      | mine                    | theirs                   | verdict       |
      | entries.registo-app     | entries.clause-summary   | don't collide |
      | entries.registo-app     | entries.registo-app      | collide       |
      | classes.register        | entries.registo-app      | don't collide |

  Scenario: The history is bounded, and the edits in it are recognized
    When a catalogue is edited 60 times
    Then its history holds the 50 versions before the last
    And the catalogue edit 10 is still recognized and the edit 9 is not
    And the catalogue versions 9, 8 and 7 are listed as expired

  Scenario: Invalid edit metadata from another tool is ignored
    Given a catalogue object whose edit is {"history": "none", "id": 5}
    Then the catalogue version has its document and no history
