Feature: What VMs know of runner crashes outlives all of them

  # Guards against a fleet that is killed and lets the same calls crash more.
  Scenario: A call that crashed two runners is blocked after the loss of all VMs
    Given two VMs, a call that crashed two runners there, and a call that crashed one
    When all VMs are killed and start again
    Then the first call is blocked at both, and the second at none

  # Guards against blocking calls again that were cleared before the loss.
  Scenario: A call that was answered after its crashes is not blocked again
    Given two VMs, a call that crashed two runners there, and a call that crashed one
    When the first call is answered at a VM
    And all VMs are killed and start again
    Then the first call is not blocked

  # Guards against one crash that counts as two, by two VMs' clocks.
  Scenario: A crash that VMs with different clocks have seen counts once
    Given two VMs whose clocks differ by 20 s, and a crash that both have seen
    When all VMs are killed and start again
    Then each VM knows 1 crash

  # Guards against what is lost because the store was away at one moment.
  Scenario: A store that fails is asked again
    Given two VMs, a store that fails each third call, and a call that crashed two runners
    When all VMs are killed and start again
    Then the first call is blocked at both

  # Guards against one bad object that hides what all others hold.
  Scenario Outline: An unreadable object hides none of the others
    Given two VMs, a call that crashed two runners there, and a call that crashed one
    When another writer stores <value> among them
    And all VMs are killed and start again
    Then the first call is blocked at both, and the second at none

    Examples:
      | value                                                                  |
      | 7                                                                      |
      | {"crashes": [["r", "dc", -1, false, []]], "answers": [], "written_at": 1} |
      | {"crashes": [], "answers": [3], "written_at": 1}                       |
      | {"crashes": [], "answers": []}                                         |

  # Guards against objects that stay in the store for good.
  Scenario: What is too old is removed, also that of VMs that are gone
    Given two VMs, a call that crashed two runners there, and a call that crashed one
    When 3700 seconds pass, and one VM starts again under another name
    Then the store holds no crashes

  # Guards against a write for each answer of a busy service.
  Scenario: Answers to sound calls write nothing
    Given two VMs, a call that crashed two runners there, and a call that crashed one
    When 100 other calls are answered at each VM within 10 seconds
    Then the store is not written to meanwhile

  # Guards against a trial at each VM at once, as each knows only itself.
  Scenario Outline: A VM that knows too few others begins no trial
    Given two VMs, a call that crashed two runners there, and a call that crashed one
    When all VMs are killed and start again
    And the VMs know <known> of <size> VMs for 600 seconds
    Then the first call runs as a trial at <trials>

    Examples:
      | known | size    | trials  |
      | 2     | 2       | some VM |
      | 1     | 2       | no VM   |
      | 1     | unknown | no VM   |
