Feature: Where runners are held

  Scenario: The plan is the cheapest that survives a data centre's loss
    Then the placement costs as little as the best of all plans

  Scenario: The cheapest place alone doesn't survive
    Symptom: an entry is down when a data centre takes its VMs back.
    Events: every runner was bought where it was cheapest.
    Cause: the plan minds the price only.

    Then the cheapest place alone leaves nothing where the placement does

  Scenario: Too few offers for the spread
    Given offers of 2 in "sala-a" and 9 in "sala-b"
    Then a placement of 8 with 8 surviving holds 2 and 6
