Feature: Admission

  Scenario: Each request gets one verdict, and limits hold
    Then any offers, ends and ticks give each request one verdict
    And no request waits longer than its class allows

  Scenario: An entry that is not in the catalogue is refused
    Given an admission controller whose pool has 8 slots
    Then a ticket for entry "nowhere" is refused as "unknown_entry"

  Scenario: A ticket that can't start in time is refused at once
    Symptom: callers are refused only after seconds of waiting.
    Events: the pool stays full, and each new request is queued.
    Cause: a request is refused after its wait, not when the wait is known.
    Given an admission controller whose pool has 8 slots
    And its requests take 40 seconds and all its slots are taken
    When 30 more tickets are offered
    Then at least 29 of them are refused in the same moment as "overload"
    And the refused callers are told to retry after at least 1 second

  Scenario: The longer the backlog, the later the retry
    Given an entry that may admit 10 requests a second
    When 200 tickets are offered at once
    Then later refused callers are told to retry later

  Scenario: A rate limit holds, and the customer above its share is refused
    Symptom: an entry's rate limit refuses a customer with few calls.
    Events: another customer calls the same entry 20 times as often.
    Cause: the limit serves requests in the order of their arrival.
    Given an entry that may admit 10 requests a second
    When "alfa" offers 100 and "beira" 3 tickets a second for 20 seconds
    Then at most 240 requests were admitted in all
    And at least 90 of 100 tickets of "beira" were admitted

  Scenario: A concurrency limit of the fleet
    Given 3 admission controllers that share a limit of 7 concurrent requests
    When each is offered more and they exchange their demand
    Then together they have 7 requests in flight

  Scenario: A spend limit
    Given an entry that may spend 3.6 an hour
    When a request ends that cost 1.0
    Then a ticket for entry "desk" is refused as "spend_limit"

  Scenario: A class leaves the catalogue while its requests run
    Symptom: the admission task crashes when an operator renames a class.
    Events: requests of the class wait and run; the catalogue changes.
    Cause: their class is looked up in the new catalogue.
    Given an admission controller whose pool has 8 slots
    When 20 tickets are offered and then the catalogue becomes empty
    Then every offered ticket still gets its verdict

  Scenario: A caller that disconnects makes room
    Given an admission controller whose pool has 8 slots
    When 20 tickets are offered and the queued ones are withdrawn
    Then no ticket is queued any more
    When the tickets in flight are withdrawn
    Then no ticket is in flight any more

  Scenario: Load above capacity
    Symptom: at twice the runners' capacity, no answer is in time.
    Events: callers offer twice, then five times the runners' capacity.
    Cause: every request is admitted, and each waits longer than the last.
    Then at 2x and 5x the goodput is within a tenth of the highest
    But with a FIFO queue the goodput at 2x is less than a tenth of it

  Scenario: One customer sends far more than its share
    Symptom: customers with unchanged load are refused.
    Events: one of four customers offers 25 times its share.
    Cause: free slots go to the customer that asks most often.
    Then at least 85 of 100 requests of each other customer are in time
    But with a fixed limit less than 50 of 100 are

  Scenario: Under overload, the class with the higher shed order is shed first
    Then at 5x the class "draft" has at most a fifth of the goodput of "desk"
