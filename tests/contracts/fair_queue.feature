Feature: Weighted fair queueing

  Scenario: The order is that of a plain list
    Then the fair queue serves as a plain list does after any steps

  Scenario: Service follows the weights
    Then customers with tickets waiting get service by their weights

  Scenario: The work ahead is what is really served first
    Then the work ahead of a ticket is within a ticket for each customer

  Scenario: One customer floods
    Symptom: all customers wait as long as the one that floods.
    Events: a customer puts 500 tickets into the queue; another puts one.
    Cause: tickets are served in the order in which they came.
    Given a queue in which customer "alfa" has 500 tickets
    When customer "beira" puts a ticket into the queue
    Then the fair queue serves "beira" among the first 2
    But first in, first out serves "beira" after 500 others

  Scenario: Idle time earns no credit
    Symptom: a customer that was quiet shuts out the others.
    Events: one customer is served for long; another one begins.
    Cause: the one that begins is owed all that the other one had.
    Given a queue that has served customer "alfa" 300 times alone
    When both customers put 10 tickets into the queue
    Then the first 10 served are shared evenly

  Scenario: Within a customer the class and then the deadline decide
    Given a customer's tickets "7:30 1:50 1:20 7:10" as shed order and deadline
    Then the fair queue serves them in the order "1:20 1:50 7:10 7:30"

  Scenario: A queue in front of a full pool
    Symptom: each request costs seconds of processor time under a flood.
    Events: thousands of tickets wait, and no customer has room.
    Cause: each ticket is asked whether it may start.
    Given a queue in which customer "alfa" has 500 tickets
    Then no waiting ticket is looked at while no customer has room
