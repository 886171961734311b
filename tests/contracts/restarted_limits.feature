Feature: Limits of a fleet whose VMs start again and again

  # Guards against VMs that save up a burst, and take the whole limit, anew at
  # each start.
  Scenario Outline: No restarts let a fleet exceed a limit: <count> VMs
    Given <count> VMs that admit <rate> requests a second together
    When <which> are killed at random times, 40 times in 60 s, and start again
    Then no 10 seconds admit more than the limit and its burst

    Examples:
      | count | rate | which       |
      | 3     | 70   | all VMs     |
      | 7     | 70   | all VMs     |
      | 7     | 70   | VMs in turn |
      | 7     | 70   | some VMs    |
      | 70    | 700  | all VMs     |

  # Guards against restarts that cost callers more than what VMs must relearn.
  Scenario: A VM that has started soon admits its share again
    Given 7 VMs that admit 70 requests a second together
    When all VMs are killed once and start again
    Then eight tenths of the limit are admitted in the first second
    And as much from the fifth second on
