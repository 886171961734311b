Feature: Short silences of sound runners

  # Guards against calls that run twice, streams that are broken off and runners
  # that all VMs avoid, because a sound runner sends nothing for a second.
  Scenario Outline: A second of silence is waited out
    Given a route for <kind> with a timeout of <timeout> seconds and an objective of 0.1 seconds
    And a runner that <behaves>
    And a runner that <behaves>
    When a call is made and the runners that are reported are recorded
    Then the status is 200
    And the response is complete
    And runners ran 1 calls
    And no runner was reported or counted as failing

    Examples:
      | kind              | timeout | behaves                     |
      | idempotent calls  | 5.0     | is silent before it answers |
      | idempotent calls  | 1.9     | is silent before it answers |
      | idempotent calls  | 5.0     | is silent within its answer |
      | resumable streams | 5.0     | is silent before it streams |
      | resumable streams | 1.9     | is silent before it streams |
      | resumable streams | 5.0     | is silent between events    |

  # Guards against calls that wait for a hung runner until too little time is
  # left for another one.
  Scenario Outline: A hung runner is left while another one can still answer
    Given a route for <kind> with a timeout of <timeout> seconds and an objective of 0.1 seconds
    And a runner that hangs
    And a runner that <answers>
    When calls are made until runner 1 ran one
    Then the status is 200
    And the response is complete

    Examples:
      | kind              | timeout | answers |
      | idempotent calls  | 5.0     | answers |
      | idempotent calls  | 2.0     | answers |
      | idempotent calls  | 1.0     | answers |
      | resumable streams | 1.0     | streams |
