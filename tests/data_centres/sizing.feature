Feature: Number of slots that the latency target requires

  Scenario: The number is the minimum that meets the share of late starts
    Then the number of slots equals the result of a linear search

  Scenario: The rule for large loads is close to the exact number
    Then at a load of 1990 slots both rules agree within 2 percent
