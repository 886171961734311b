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

  # Guards against half a response that passes for a whole one, as the end of
  # its runner's process closed the connection.
  Scenario Outline: Only an accepted connection shows that a runner goes on
    Given a watch on crashes
    When a runner ends a response by closing, and its port <does>
    Then the runner <may have ended>

    Examples:
      | does                               | may have ended |
      | refuses                            | may have ended |
      | accepts a connection               | goes on        |
      | opens no connection in time        | may have ended |
      | has no free connection in the pool | may have ended |

  # Guards against half a response that passes for a whole one: the runner ended
  # and was back while the VM was suspended.
  Scenario Outline: A response's end is not trusted after a suspension
    Given a watch on crashes
    When the process <runs>
    And a runner ends a response by closing, and its port accepts a connection
    Then the runner <may have ended>

    Examples:
      | runs                                       | may have ended |
      | runs for 2 s                               | goes on        |
      | is suspended for 3.7 s                     | may have ended |
      | is suspended for 3.7 s, and runs for 0.5 s | may have ended |
      | is suspended for 3.7 s, and runs for 2 s   | goes on        |

  # Guards against calls that are kept away from all runners for half an hour,
  # because a VM that lost its paths, or met a runner in a short silence, takes
  # a connection that opens late for the runner's crash.
  Scenario Outline: A call counts as the cause of a crash only after a refusal
    Given a route for non-idempotent calls
    And a runner that resets
    When a call is made
    And a new connection to runner 1 <fails>
    Then <count> calls are charged with a crash

    Examples:
      | fails      | count |
      | is refused | 1     |
      | times out  | 0     |

  # Guards against a call that crashes runners and is cleared each time, as its
  # half answer without length passes for a whole one.
  Scenario Outline: An answer without length clears its call if its runner lives on
    Given a watch on crashes and a call that crashed two runners
    When the call's answer <ends> and <then>
    Then after 1.1 seconds the call is <state>

    Examples:
      | ends                     | then                   | state       |
      | has a length             | its runner ends        | not blocked |
      | ends with its connection | its runner lives on    | not blocked |
      | ends with its connection | its runner ends        | blocked     |
      | ends with its connection | its runner is unlisted | blocked     |

