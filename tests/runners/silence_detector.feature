Feature: Detection of silent runners

  # Guards against sending calls to a runner that has lost power. Connections
  # to it stay open and calls wait, so no failure is counted until a deadline.
  Scenario: A runner that answers no call is silent
    Given a runner with 3 calls
    When 1.0 seconds pass without a byte
    Then the runner is treated as silent

  Scenario: One call that hangs does not make the runner silent
    Given a runner with 3 calls
    When 1.0 seconds pass with a byte every 0.3 seconds
    Then the runner is not treated as silent

  Scenario: A runner without calls is not silent
    Given a runner with 1 calls
    When all of its calls end and 5.0 seconds pass
    Then the runner is not treated as silent

  Scenario: A silent runner that sends a byte is used again at once
    Given a runner with 3 calls
    And 1.0 seconds pass without a byte
    When a byte comes from the runner
    Then the runner is not treated as silent

  # Guards against all VMs avoiding a sound runner that sends nothing for a
  # second, as it does at times, because two VMs have calls there.
  Scenario Outline: Only a silence that no sound runner keeps is reported
    Given a runner with 3 calls
    When <seconds> seconds pass without a byte
    Then the runner is treated as silent
    And the runner is <reported> to the other VMs

    Examples:
      | seconds | reported     |
      | 0.9     | not reported |
      | 1.3     | not reported |
      | 1.6     | reported     |

  # Guards against reports that contradict what this VM has seen: bytes came
  # here in the time in which none came to the VMs that report.
  Scenario: Reports are ignored after bytes within the silence that they report
    Given a runner with 1 calls
    And a byte comes from the runner
    When all of its calls end and 1.2 seconds pass
    And 2 other VMs report it as silent
    Then the runner is not treated as silent

  # Guards against all VMs avoiding healthy runners because one VM, which is
  # itself disconnected from the runners, reports them as silent.
  Scenario Outline: Reports of silence count if two other VMs agree
    Given a runner with 0 calls
    When <count> other VMs report it as silent
    Then the runner is <verdict> silent

    Examples:
      | count | verdict        |
      | 1     | not treated as |
      | 2     | treated as     |

  Scenario: A runner that has just sent this VM a byte is not silent despite reports
    Given a runner with 1 calls
    And a byte comes from the runner
    When 3 other VMs report it as silent
    Then the runner is not treated as silent
