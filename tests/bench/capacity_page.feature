Feature: The capacity page says what was measured

  Scenario: The committed page agrees with the committed figures
    Given the committed capacity page
    When the capacity page is checked
    Then the capacity check passes

  Scenario Outline: A capacity page that drifted is found
    Symptom: the page names a figure that no run gave.
    Events: <change>, and the page was not worked out again.
    Cause: figures of a table were typed or forgotten by hand.

    Given the committed capacity page
    And in a copy of the capacity page <change>
    When the capacity page is checked
    Then the capacity check fails

    Examples:
      | change                        |
      | a figure of a table is edited |
      | a slope is measured anew      |
      | a row of a table is dropped   |

  Scenario: A capacity page without one of its tables is refused
    Given the committed capacity page
    And in a copy of the capacity page a table is unmarked
    Then the capacity check refuses the page

  Scenario: Working the capacity page out again mends it
    Given the committed capacity page
    And in a copy of the capacity page a figure of a table is edited
    When the capacity page is worked out
    And the capacity page is checked
    Then the capacity check passes
