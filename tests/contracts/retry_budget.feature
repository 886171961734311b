Feature: Retry budget

  Scenario: Retries stay a small part of the load
    Then an entry's retries are at most a tenth of its successes and ten

  Scenario: Entries don't share a budget
    Given a retry budget that entry "a" has used up
    Then entry "b" may still retry

  Scenario: Runners that fail under load
    Symptom: an overload that lasted seconds goes on for good.
    Events: runners fail what is above their capacity, and each failure is
      sent again up to two times.
    Cause: the retries are load themselves.
    Given runners that can do 100 requests a second and get 120
    Then with the retry budget they get less than 132 a second
    But with a retry of each failure they get more than 170 a second
