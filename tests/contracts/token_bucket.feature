Feature: Token buckets

  Scenario: No time span has more units than the rate and the burst allow
    Then the units taken from a token bucket stay within its rate and burst

  Scenario: The wait is exact
    Then a token bucket allows a take after its wait and not before

  Scenario: Work whose size is known only afterwards
    Given a token bucket of 10 a second and a burst of 20
    When 20 units are taken and 30 more are charged
    Then the token bucket allows a take of 1 unit in 3.1 seconds
