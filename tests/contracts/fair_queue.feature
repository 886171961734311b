Feature: Weighted fair queueing

  Scenario: The order is that of a linear search
    Then the fair queue serves in the order of a linear search after any steps

  Scenario: Service follows the weights
    Then customers with queued tickets get service by their weights

  Scenario: The estimated work ahead matches the work served first
    Then the work ahead of a ticket is exact to a ticket for each customer

  Scenario: One customer sends a flood of requests
    Symptom: all customers wait as long as the one that sends the flood.
    Events: a customer puts 500 tickets into the queue; another puts one.
    Cause: tickets are served in the order of their arrival.
    Given a queue in which customer "alfa" has 500 tickets
    When customer "beira" puts a ticket into the queue
    Then the fair queue serves "beira" among the first 2
    But first in, first out serves "beira" after 500 others

  Scenario: Idle time earns no credit
    Symptom: a customer that was idle keeps all others waiting.
    Events: one customer is served for long; another one begins.
    Cause: the new customer gets credit for all service of the other one.
    Given a queue that has served customer "alfa" 300 times alone
    When both customers put 10 tickets into the queue
    Then the first 10 served are shared evenly

  Scenario: Within a customer, shed order and then deadline decide
    Given a customer's tickets "7:30 1:50 1:20 7:10" as shed order and deadline
    Then the fair queue serves them in the order "1:20 1:50 7:10 7:30"

  Scenario: A queue in front of a full pool
    Symptom: under a flood, each request costs seconds of processor time.
    Events: thousands of tickets are queued, and no customer has room.
    Cause: each ticket is checked for whether it may start.
    Given a queue in which customer "alfa" has 500 tickets
    Then no queued ticket is checked while no customer has room
