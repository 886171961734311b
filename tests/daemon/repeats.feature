Feature: Calls to a platform that is down

  Scenario: Failed calls are made less and less often
    Symptom: ten calls and ten log lines a second, and no others are seen.
    Events: the cloud API is down and refuses each connection at once.
    Cause: a wait for notices that ended by an error is begun again at once.
    Given a repeated call to the platform
    When the repeated call fails 5 times
    Then the repeated call waited 0.25, 0.5, 1.0, 2.0 and 2.0 s
    And only failure 1 of the repeated call was news

  Scenario: An answer ends the waiting, and is news once
    Given a repeated call to the platform
    When the repeated call fails 4 times
    And the repeated call is answered 2 times
    Then the repeated call is due at once
    And only answer 1 of the repeated call was news
    When the repeated call fails 2 times
    Then the repeated call waited 0.25 and 0.5 s
    And only failure 1 of the repeated call was news
