Feature: Runners from which nothing is heard any more

  # Symptom: calls time out one after the other at a runner that lost power.
  # Events: the runner goes dark; connections to it stay open and calls wait.
  # Cause: nothing fails until a deadline, so nothing counted against it.
  Scenario: A runner that answers nobody is silent
    Given a runner with 3 calls
    When 1.0 seconds pass without a byte
    Then the runner is believed to be silent

  Scenario: One call that hangs is not the runner's silence
    Given a runner with 3 calls
    When 1.0 seconds pass with a byte every 0.3 seconds
    Then the runner is not believed to be silent

  Scenario: A runner without calls is not silent
    Given a runner with 1 calls
    When all of its calls end and 5.0 seconds pass
    Then the runner is not believed to be silent

  Scenario: A silent runner that is heard again is believed at once
    Given a runner with 3 calls
    And 1.0 seconds pass without a byte
    When a byte comes from the runner
    Then the runner is not believed to be silent

  # Symptom: all VMs stop using sound runners.
  # Events: one VM is cut off from the runners and tells the others that they
  # are silent.
  # Cause: one witness believed.
  Scenario Outline: Others are believed when two agree
    Given a runner with 0 calls
    When <count> other VMs find it silent
    Then the runner is <verdict> to be silent

    Examples:
      | count | verdict      |
      | 1     | not believed |
      | 2     | believed     |

  Scenario: A runner that was just heard here is not silent, whoever says so
    Given a runner with 1 calls
    And a byte comes from the runner
    When 3 other VMs find it silent
    Then the runner is not believed to be silent
