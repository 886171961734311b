Feature: How many slots the latency target needs

  Scenario: The number is the least that meets the share of late starts
    Then the slots agree with the formula tried one number at a time

  Scenario: The rule for large loads is near the exact number
    Then at a load of 1990 slots both rules agree within 2 percent
