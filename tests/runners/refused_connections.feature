Feature: Runners that refuse connections

  Scenario: A refused connection opens the circuit at once
    Given a runner's circuit
    When its runner refuses a connection
    Then the circuit is open

  # Guards against a runner that all VMs avoid because one of them can't reach
  # it.
  Scenario: A report of one VM needs a failure met here
    Given a VM that knows one runner of a service
    When 1 VM reports the runner
    Then the VM uses the runner
    When a request to the runner fails
    Then the VM avoids the runner

  Scenario: Reports of two VMs suffice
    Given a VM that knows one runner of a service
    When 2 VMs report the runner
    Then the VM avoids the runner

  # Guards against reports from before a restart, which arrive after the runner
  # has answered again.
  Scenario: A runner that has just answered is not avoided
    Given a VM that knows one runner of a service
    When the runner answers this VM
    And 5 VMs report the runner
    Then the VM uses the runner

  Scenario: One report keeps an open circuit open, and its end allows a probe
    Given a VM that knows one runner of a service
    When the runner refuses this VM a connection
    And 1.3 seconds pass without calls
    And 1 VM reports the runner
    Then the VM avoids the runner
    When no VM reports the runner
    And 1.0 seconds pass without calls
    Then the VM uses the runner

  Scenario: A VM reports a runner for a second, and not after its answer
    Given a VM that knows one runner of a service
    When the runner refuses this VM a connection
    Then the VM reports no runner
    When another runner answers this VM
    Then the VM reports the runner
    When 1.1 seconds pass without calls
    Then the VM reports no runner
    When the runner refuses this VM a connection
    And the runner answers this VM
    Then the VM reports no runner

  # Guards against calls that are refused although three quarters of the
  # runners are free, and against the same failure met by each VM three times.
  Scenario Outline: A quarter of the runners crashes
    Given <vms> VMs that send 330 calls per second to 45 runners
    When 11 runners crash and leave the list 4 seconds later
    Then at most <part> of the failed connections of today remain
    And no call is refused, and today <least> are

    Examples:
      | vms | part | least |
      | 7   | 0.4  | 5     |
      | 61  | 0.3  | 10    |
      | 195 | 0.35 | 10    |

  # Guards against a runner that stays unused long after a short restart.
  Scenario: A runner that restarts is used again soon
    Given 61 VMs that send 330 calls per second to 45 runners
    When 11 runners refuse connections for 1.5 seconds
    Then 4 seconds after the crash, 0.99 of the VMs may use each of them

  # Guards against VMs with a broken network that close runners for all.
  Scenario Outline: VMs that reach no runner
    Given 61 VMs that send 330 calls per second to 45 runners
    When <count> VMs are refused by all runners for 5 seconds
    Then no other VM ever avoids a runner

    Examples:
      | count |
      | 1     |
      | 3     |
