Feature: A restarted runner keeps no state of its former incarnation

  # Guards against a caller that waits until its deadline: a runner behind a
  # network partition ends and restarts under its name, and the call still waits
  # on the old connection, because the name is the same.
  Scenario Outline: Calls that wait for the former incarnation end at once
    Given a route for <kind>
    And a runner that hangs
    And a runner that <answers>
    When a call to runner 1 waits
    And runner 1 restarts at <place>
    Then the call ends with status <status> within 2 seconds
    And the call has run at <runs> runners

    Examples:
      | kind                 | answers | place            | status | runs |
      | idempotent calls     | answers | another address  | 200    | 2    |
      | idempotent calls     | answers | the same address | 200    | 2    |
      | resumable streams    | streams | another address  | 200    | 2    |
      | non-idempotent calls | answers | another address  | 502    | 1    |
      | non-idempotent calls | answers | the same address | 502    | 1    |

  Scenario: Failures and connections of the former incarnation are discarded
    Given a route for idempotent calls
    And a runner that fails
    When a call is made
    And runner 1 restarts at the same address
    Then runner 1 has no recorded failures and no open connection
    And the next call is addressed to runner 1 by its name

  # Guards against a call that crashes one runner after the other: each crashed
  # runner is back under its name at once, and its entry is never removed, so
  # that only its new incarnation shows the crash.
  Scenario: A new incarnation shows that the former one ended
    Given a watch on crashes
    When a call breaks off at a runner that then restarts, twice
    Then the call is blocked
