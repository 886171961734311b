Feature: Usage of a pool by customer

  Scenario: Customers that used their share are found
    Then a customer has used its share exactly if a direct computation says so

  Scenario: A customer that is alone has never used its share
    Given a pool that customer "alfa" alone has used for 60 seconds
    Then customer "alfa" has not used its share of the pool

  Scenario: Old usage counts little
    Given a pool that customer "alfa" alone has used for 60 seconds
    When 40 seconds later "beira" uses it as "alfa" did for 8 seconds
    Then customer "beira" has used its share of the pool
    And customer "alfa" has not used its share of the pool
