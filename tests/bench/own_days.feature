Feature: Generated platform days with every variant of every fault

  Scenario: Each variant occurs once alone
    When days of single faults are generated with seed 3
    Then each variant of every kind of fault occurs exactly once
    And consecutive faults start at least 5 seconds apart

  Scenario: Each variant occurs once in a round of pairs
    When days of pairs of faults are generated with seed 3
    Then each variant of every kind of fault occurs exactly once
    And both faults of a pair are of different kinds and at most 2 seconds apart

  Scenario: The same seed gives the same days
    Then days generated twice with seed 3 are equal, and differ with seed 4

  Scenario: A day is the same after formatting and parsing
    When days of pairs of faults are generated with seed 5
    Then each day's text is TOML of the same day

  Scenario: Days are written to the given folder
    When the tool writes days with one round of pairs
    Then the folder has as many days as the tool reports
