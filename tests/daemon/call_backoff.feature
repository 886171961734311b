Feature: Backoff of periodic calls to a platform that is down

  Scenario: Failed calls are made less and less often
    Guards against ten calls and ten log lines a second, which hide all other
    log lines, while the cloud API refuses each connection at once because a
    failed wait for notices is restarted without a delay.
    Given a periodic call to the platform
    When the periodic call fails 5 times
    Then the periodic call waited 0.25, 0.5, 1.0, 2.0 and 2.0 s
    And only failure 1 of the periodic call was reported as new

  Scenario: A success resets the backoff and is reported once
    Given a periodic call to the platform
    When the periodic call fails 4 times
    And the periodic call succeeds 2 times
    Then the periodic call is due at once
    And only success 1 of the periodic call was reported as new
    When the periodic call fails 2 times
    Then the periodic call waited 0.25 and 0.5 s
    And only failure 1 of the periodic call was reported as new
