Feature: Spend by customer and entry

  Scenario: The totals are exact
    Then the spend meter's totals equal plain sums after any costs

  Scenario: A limit holds over time
    Given an entry that may spend 36 per hour
    When it spends 0.5 whenever it may for 30 minutes
    Then it has spent at most 36 per hour, a burst and one request

  Scenario: The cost of a request follows from the price of its runner
    Then a slot of a runner of 4.0 per hour with 8 slots costs 0.5 in an hour
