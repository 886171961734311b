Feature: Placement of runners

  Scenario: The plan is the cheapest one that survives the loss of a data centre
    Then the placement costs as little as the best of all plans

  # Guards against the outage of an entry when one data centre reclaims its VMs.
  # A plan that considers only the price buys all runners at the cheapest place.
  Scenario: The cheapest place alone does not survive
    Then only the placement leaves runners after the loss of the cheapest place

  Scenario: The offers are too few for the required spread
    Given offers of 2 in "sala-a" and 9 in "sala-b"
    Then a placement of 8 with 8 surviving holds 2 and 6
