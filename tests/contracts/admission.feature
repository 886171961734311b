Feature: Admission

  Scenario: Each request gets one verdict, and limits hold
    Then any offers, ends and ticks give each request at most one verdict
    And no request waits longer than its class allows

  Scenario: An entry that is not in the catalogue
    Given an admission desk whose pool has 8 slots
    Then a ticket for entry "nowhere" is refused as "unknown_entry"

  Scenario: A ticket that can't start in time is told at once
    Symptom: callers learn after seconds that they waited for nothing.
    Events: the pool is full for long; each new request is put in the queue.
    Cause: the refusal comes when the wait is over instead of when it is known.
    Given an admission desk whose pool has 8 slots
    And its requests take 40 seconds and all its slots are taken
    When 30 more tickets are offered
    Then at least 29 of them are refused in the same moment as "overload"
    And the refused are told to come back after at least 1 second

  Scenario: The longer the backlog, the later the retry
    Given an entry that may admit 10 requests a second
    When 200 tickets are offered at once
    Then the refused are told to come back later the further back they are

  Scenario: A rate holds, and the flooder pays for it
    Symptom: an entry's rate limit refuses a customer that hardly calls.
    Events: another customer calls the same entry 20 times as often.
    Cause: the limit is given to whoever comes first.
    Given an entry that may admit 10 requests a second
    When "alfa" offers 100 and "beira" 3 tickets a second for 20 seconds
    Then at most 240 requests were admitted in all
    And at least 90 of 100 tickets of "beira" were admitted

  Scenario: A concurrency limit of the fleet
    Given 3 admission desks that share a limit of 7 requests at once
    When each is offered more than that and they tell each other their demand
    Then together they have 7 requests in flight

  Scenario: A spend limit
    Given an entry that may spend 3.6 an hour
    When a request ends that has cost 1.0
    Then a ticket for entry "desk" is refused as "spend_limit"

  Scenario: A class leaves the catalogue while its requests run
    Symptom: the desk dies when an operator renames a class.
    Events: requests of the class wait and run; the catalogue changes.
    Cause: their class is looked up in the new catalogue.
    Given an admission desk whose pool has 8 slots
    When 20 tickets are offered and then the catalogue becomes empty
    Then all that was offered still ends in order

  Scenario: A caller that is gone makes room
    Given an admission desk whose pool has 8 slots
    When 20 tickets are offered and those that wait are withdrawn
    Then nothing waits any more
    When those in flight are withdrawn
    Then nothing is in flight any more

  Scenario: Load above capacity
    Symptom: at twice the load that runners can do, nothing is in time.
    Events: callers offer twice, then five times what the runners can do.
    Cause: everything is admitted, late and later.
    Then at 2x and 5x the requests in time are within a tenth of the most
    But with a FIFO queue less than a tenth of them are in time at 2x

  Scenario: One customer floods the desk
    Symptom: customers that call as ever are refused.
    Events: one of four customers offers 25 times its part.
    Cause: room goes to whoever asks most often.
    Then at least 85 of 100 requests of each other customer are in time
    But with a fixed limit less than 50 of 100 are

  Scenario: Under overload the class that may be shed first goes first
    Then at 5x the class "draft" is served a fifth of the part of "desk"
