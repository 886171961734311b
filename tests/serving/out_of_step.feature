Feature: A VM that is out of step joins no streams of two versions

  # Guards against a VM that takes what it has not heard for what has not been.
  Scenario Outline: A version joins unseen, and streams go on there: <way>
    When 60 streams are taken up at VMs that are out of step: <way>
    Then at most two of them hold events of two versions

    Examples:
      | way                            |
      | one VM, runners crash          |
      | one VM, the others are killed  |
      | two VMs, the others are killed |
      | one VM, store hangs            |

  # Guards against refusing what could go on, as a cure for joined streams.
  Scenario Outline: One version serves, and streams go on: <way>
    When 60 streams are taken up at VMs that are out of step: <way>
    Then all of them are whole

    Examples:
      | way                    |
      | store away             |
      | store away from one VM |
