Feature: Days of our own with every variant of every trouble

  Scenario: Each variant comes once alone
    When days of single troubles are drawn with seed 3
    Then each variant of every kind comes exactly once
    And two troubles never begin within 5 seconds of each other

  Scenario: Each variant comes once in a round of pairs
    When days of pairs are drawn with seed 3
    Then each variant of every kind comes exactly once
    And both troubles of a pair are of different kinds and 2 seconds apart at most

  Scenario: The same seed gives the same days
    Then days drawn twice with seed 3 are equal, and others with seed 4

  Scenario: What is written is read back unchanged
    When days of pairs are drawn with seed 5
    Then each day's text is TOML of the same day

  Scenario: Days are written where they are asked for
    When the tool writes days with one round of pairs
    Then the folder holds as many days as it says
