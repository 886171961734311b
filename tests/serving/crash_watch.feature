Feature: A runner that broke an answer off is looked at once

  Scenario Outline: What its port does tells whether it has ended
    Symptom: calls are kept away as if they crashed runners, on a day on
    which no runner ended.
    Events: a runner breaks an answer off; its port <does> then.
    Cause: a connection that opened too late counts like a refused one.
    Given a watch on crashes
    When a runner breaks off an answer and its port <does>
    Then the runner is taken to have <ended>

    Examples:
      | does                  | ended     |
      | refuses               | ended     |
      | takes a connection    | not ended |
      | opens nothing in time | not ended |
      | has no room left      | not ended |
