Feature: Rules for ordering runners on a simulated day

  Scenario: A day depends only on its seed and rule
    Given a simulated day of 20 seconds with seed 3 under "fleet_size"
    Then a repeated day has the same worth, and seed 4 a different one

  Scenario: The product's rule compared with the other rules
    When 6 days are simulated under each rule at load 0.6 and at load 1.2
    Then the mean worth of "fleet_size" is at most 0.02 below the highest mean
    And at load 1.2 the mean worth of any other rule that orders by need is at least 0.1 lower

  Scenario: The benchmark prints a row for each rule and load
    When the benchmark "platform_day" runs with "--days 1 --seconds 5"
    Then it prints 10 rows, one for each rule and load
