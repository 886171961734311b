Feature: Rules for ordering runners on a modelled day

  Scenario: A day depends on its seed and rule alone
    Given a modelled day of 20 seconds with seed 3 under "fleet_size"
    Then the same day has the same worth, and seed 4 another one

  Scenario: The product's rule beside its rivals
    When 6 days are modelled under each rule at load 0.6 and at load 1.2
    Then the mean worth of "fleet_size" is at most 0.02 below the best
    And at load 1.2 any rule that orders by need is at least 0.1 below it

  Scenario: The command prints a row for each rule and load
    When the benchmark "platform_day" runs with "--days 1 --seconds 5"
    Then it prints 10 rows, one for each rule and load
