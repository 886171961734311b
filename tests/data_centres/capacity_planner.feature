Feature: Capacity of an entry

  Background:
    Given a planner for 3 data centres with at least 2 runners

  Scenario: The planner buys the runners that the demand requires in several data centres
    When 20 requests/s arrive for 60 s
    Then the held runners suffice for 20 requests/s
    And at least 3 runners remain after the loss of any data centre

  # Guards against paying for an unwanted VM. The cloud carries out an order but
  # its answer is lost, and the planner repeats it with a new token.
  Scenario: The answer to an order is lost
    Given the cloud's answers are lost
    When 20 requests/s arrive for 30 s
    Then every order was repeated with its own token
    And the cloud started one VM per token

  # Guards against constant requests to the cloud while capacity is missing. A
  # data centre refuses starts repeatedly; the planner neither delays further
  # starts there nor uses other data centres.
  Scenario: One data centre refuses starts
    Given the cloud refuses starts in "sala-a"
    When 20 requests/s arrive for 600 s
    Then the held runners suffice for 20 requests/s
    And the cloud refused fewer than 15 starts

  Scenario: A wave of reclaims empties a data centre
    When 20 requests/s arrive for 60 s
    And the cloud reclaims "sala-b" and refuses starts there
    And 20 requests/s arrive for 60 s
    Then the held runners suffice for 20 requests/s

  Scenario: The demand falls
    When 20 requests/s arrive for 60 s
    And 1 requests/s arrive for 100 s
    Then no runner was released
    When 1 requests/s arrive for 2400 s
    Then 3 runners are held, 2 of which survive the loss of a data centre

  Scenario: The most expensive runners are released first
    Given 2 "on_demand" and 2 "reclaimable" runners in each data centre
    When 8 requests/s arrive for 200 s
    Then the first 6 released runners are "on_demand"

  Scenario: Price fluctuations do not move runners
    When 20 requests/s arrive for 60 s
    And prices fluctuate by 10 percent while 20 requests/s arrive for 1200 s
    Then no runner was released

  Scenario: The list of VMs is delayed
    Given the list of VMs is delayed by 60 s
    When 20 requests/s arrive for 60 s
    Then at most 7 runners are held

  Scenario: Model loads stay within the limit of the weight store
    Given runners start without a model and the store allows 3 loads at a time
    When 60 requests/s arrive for 400 s
    Then every runner has its model and the store refused fewer than 9 loads
