Feature: VMs that lost all runners

  # Guards against a VM that reaches no runner and so serves its callers
  # nothing, while other VMs could.
  Scenario Outline: Callers of VMs without runners are served like others
    When one VM of three, and elsewhere two, lose all runners by <cut> for 6 s
    Then from 3 s on, first tries there are served nearly as often as elsewhere

    Examples:
      | cut        |
      | hang       |
      | reset      |
      | refuse_new |

  # Guards against callers that wait in vain, or find no VM at all, when no VM
  # reaches a runner.
  Scenario Outline: Calls are refused at once if no VM has a runner
    When all three VMs lose all runners by <cut> for 4.5 s
    Then from 3 s on, calls that fail are refused with 503 within 0.5 s
    And each lookup lists VMs

    Examples:
      | cut        |
      | hang       |
      | reset      |
      | refuse_new |
