Feature: Retry budget

  Scenario: Retries stay a small fraction of the load
    Then an entry's retries are at most a tenth of its successes and ten

  Scenario: Entries don't share a budget
    Given a retry budget that entry "a" has used up
    Then entry "b" may still retry

  Scenario: Runners that fail under load
    Symptom: an overload of seconds never ends.
    Events: requests above capacity fail and are sent again up to two times.
    Cause: the retries add to the load.
    Given runners with a capacity of 100 requests a second and a load of 120
    Then with the retry budget they get less than 132 a second
    But with a retry of each failure they get more than 170 a second
