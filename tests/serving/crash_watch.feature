Feature: A runner that breaks off an answer is checked at once

  # Guards against blocking calls as causes of crashes when no runner has
  # ended: after a runner breaks off an answer, a connection that opens late
  # must not count as a refused one.
  Scenario Outline: Only a refused connection shows that a runner has ended
    Given a watch on crashes
    When a runner breaks off an answer and its port <does>
    Then the runner counts as <ended>

    Examples:
      | does                               | ended     |
      | refuses                            | ended     |
      | accepts a connection               | not ended |
      | opens no connection in time        | not ended |
      | has no free connection in the pool | not ended |
