Feature: The capacity page agrees with the measurements

  Scenario: The committed page agrees with the committed measurements
    Given the committed capacity page
    When the capacity page is checked
    Then the capacity check passes

  Scenario Outline: A capacity page that is out of date is detected
    The page had a figure that no run gave, because a figure in a table was
    edited by hand or the page was not generated again after a new
    measurement.
    Given the committed capacity page
    And in a copy of the capacity page <change>
    When the capacity page is checked
    Then the capacity check fails

    Examples:
      | change                        |
      | a figure of a table is edited |
      | a slope is measured again     |
      | a row of a table is deleted   |

  Scenario: A capacity page that lacks a table is rejected
    Given the committed capacity page
    And in a copy of the capacity page the marker of a table is deleted
    Then the capacity check rejects the page

  Scenario: Generating the capacity page again corrects it
    Given the committed capacity page
    And in a copy of the capacity page a figure of a table is edited
    When the capacity page is generated
    And the capacity page is checked
    Then the capacity check passes
