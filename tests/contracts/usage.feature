Feature: Usage of a pool by customer

  Scenario: Whoever is full has had its part
    Then a customer is full exactly when a plain reckoning says so

  Scenario: A customer that is alone is never full
    Given a pool that customer "alfa" alone has used for 60 seconds
    Then customer "alfa" is not full of the pool

  Scenario: What was used long ago counts little
    Given a pool that customer "alfa" alone has used for 60 seconds
    When 40 seconds later "beira" uses it as "alfa" did for 8 seconds
    Then customer "beira" is full of the pool
    And customer "alfa" is not full of the pool
