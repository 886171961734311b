Feature: Token buckets

  Scenario: No stretch of time takes more than the rate and the burst
    Then what a token bucket gives stays within its rate and burst

  Scenario: The wait is told exactly
    Then after the wait that a token bucket tells, and not before, it gives

  Scenario: Work whose size is known afterwards
    Given a token bucket of 10 a second and a burst of 20
    When 20 units are taken and 30 more are charged
    Then the token bucket gives 1 unit in 3.1 seconds
