Feature: Times of calls on the request path

  # Guards against a path that no longer records what the estimates are made of:
  # all runners would then count as equally fast, and no other test would fail.
  Scenario Outline: What calls show of their runner
    Given a route for <kind>
    And a runner that <does>
    When 12 calls are timed
    Then <paces> paces and <plain> plain answers were recorded

    Examples:
      | kind             | does                  | paces | plain |
      | idempotent calls | answers               | 0     | 6     |
      | idempotent calls | fails                 | 0     | 0     |
      | streams          | streams event by event | 6     | 0     |
