Feature: Contention of a service and fair shares of its customers

  Scenario: Contention begins at an eighth of the objective, ends at a sixteenth
    Given a service with calls of rank 0, objective 0.8 s, and rank 1, objective 0.4 s
    Then waits of 0.09, 0.11, 0.06 and 0.04 s are not, are, are and are not contended

  Scenario: A rank without recent calls does not count
    Given a service with calls of rank 0, objective 0.8 s, and rank 1, objective 0.4 s
    When 3 s pass with calls of rank 1 alone
    Then waits of 0.04, 0.06, 0.03 and 0.02 s are not, are, are and are not contended

  # Guards against a VM that stays contended by a figure from before it was cut
  # off from the others.
  Scenario: A VM that hears nothing sees no contention
    Given a service with calls of rank 0, objective 0.8 s, and rank 1, objective 0.4 s
    When a wait of 0.5 s is observed and 3 s pass
    Then the service is not contended

  Scenario: The mean wait follows waiting tokens and speeds
    Then 900 and 1800 tokens at speeds 1.0 and 0.5 wait 0.225 s on average at 0.0001 s

  Scenario: A customer far beyond the others is over its share, no other one is
    Given customers with 100, 100, 100 and 700 tokens
    When 300 tokens wait at the runners
    Then only customer 4 is over its share of 400 tokens

  Scenario: Configured rates are weights
    Given customers with 100, 100, 100 and 700 tokens
    When 150 tokens wait at the runners, and customer 4 has 7 times the rate
    Then no customer is over its share

  # Guards against customers that are put behind in turn by chance.
  Scenario: When all send too much, no customer is over its share
    Given customers with 100, 110, 120 and 130 tokens
    When 400 tokens wait at the runners
    Then no customer is over its share

  Scenario: Demands are forgotten, and no report beyond its limits is added
    Given customers with 100, 100, 100 and 700 tokens
    When reports of -1, 2000000 calls and 3 counts arrive
    Then they are not added
    When 6 s pass
    Then no customer has any demand

  Scenario: Shares agree with a plain computation
    Then max-min shares agree with raising the level step by step
