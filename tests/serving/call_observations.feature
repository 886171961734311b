Feature: What calls show of their runners

  # Guards against runners that are avoided, and calls that are blocked, as
  # runners fell over that had said that they would.
  Scenario Outline: Calls that break off at a fragile runner show nothing
    Given a VM that knows that runner 1 <is fragile>
    And a route for idempotent calls
    And a runner that resets
    When a call is made
    And a new connection to runner 1 is refused
    Then <calls> calls count in outlier detection
    And <charged> calls are charged with a crash

    Examples:
      | is fragile     | calls | charged |
      | is fragile     | 0     | 0       |
      | is not fragile | 1     | 1       |

  # Guards against a learned speed that is that of a runner about to fall over.
  Scenario Outline: A stream that breaks off at a fragile runner shows no speed
    Given the times of streams at a runner that <is fragile>
    When 12 streams bring an event and <end>
    Then the prefill of <known> streams is known

    Examples:
      | is fragile     | end       | known |
      | is fragile     | break off | 0     |
      | is fragile     | complete  | 12    |
      | is not fragile | break off | 12    |
