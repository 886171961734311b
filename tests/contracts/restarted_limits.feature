Feature: Limits of a fleet whose VMs start again and again

  # Guards against VMs that save up a burst, and take the whole limit, anew at
  # each start.
  Scenario Outline: No restarts let a fleet exceed a limit: <count> VMs
    Given <count> VMs that admit 70 requests a second together
    When <which> are killed at random times, 40 times in 60 s, and start again
    Then no 10 seconds admit more than the limit and its burst

    Examples:
      | count | which       |
      | 3     | all VMs     |
      | 7     | all VMs     |
      | 7     | VMs in turn |
      | 7     | some VMs    |

  # Guards against restarts that cost callers more than what VMs must relearn.
  Scenario: A VM that has started soon admits its share again
    Given 7 VMs that admit 70 requests a second together
    When all VMs are killed once and start again
    Then a tenth of the limit is admitted in the first second
    And seven tenths from the fifth second on
