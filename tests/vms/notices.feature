Feature: Notices of leaving runners

  # Guards against calls to a runner 3.8 s after the store acknowledged that it
  # leaves: 60% of the VMs lost power 1.9 s after that, and fetches between VMs
  # failed as all fetched configurations over the same links.
  Scenario Outline: All VMs know of a leaving runner within a second
    Given <vms> VMs in 3 data centres <notices> notices that know each other
    When a runner's leaving becomes known to 3 VMs and fetches fail for 3 seconds
    And the fleet runs for 1 seconds
    Then <at 1 s> VMs of <vms> know it
    When 60% of the VMs end 1.9 seconds after the notice
    And 3 seconds have passed since the notice
    Then at most <at 3 s> of the remaining VMs don't know it

    Examples:
      | vms | notices | at 1 s | at 3 s |
      | 7   | with    | 7      | 0      |
      | 61  | with    | 61     | 0      |
      | 195 | with    | 195    | 0      |
      | 7   | without | 3      | 3      |
      | 61  | without | 3      | 25     |
      | 195 | without | 3      | 78     |

  # Guards against lost messages: 1 in 5 datagrams is lost.
  Scenario: Lost messages delay a notice by little
    Given 61 VMs in 3 data centres with notices that know each other
    And 20% of the datagrams are lost
    When a runner's leaving becomes known to 3 VMs and fetches fail for 3 seconds
    And the fleet runs for 1 seconds
    Then 61 VMs of 61 know it

  Scenario: Notices stop after some seconds, without circulating
    Given 61 VMs in 3 data centres with notices that know each other
    When a runner's leaving becomes known to 3 VMs and fetches fail for 30 seconds
    And the fleet runs for 6 seconds
    Then no VM sends notices

  # Guards against a runner that gets no work for long, as an outdated notice
  # is repeated to VMs that have not fetched its newer entry yet.
  Scenario: A VM that has a newer entry does not repeat an older notice
    Given a VM that repeats a notice of revision 8
    When the runner's entry of revision 9 arrives
    Then the VM sends no notices

  # Guards against a datagram that exceeds its size when many runners leave.
  Scenario: A message has the 64 newest notices
    Given a VM that has learned that 100 runners are leaving
    Then it sends notices of the last 64, newest first

  Scenario Outline: A malformed list of notices is rejected
    Then the notices <notices> are rejected

    Examples:
      | notices               |
      | [["r", 1]]            |
      | [["", 1, 2]]          |
      | [["r", -1, 2]]        |
      | [["r", 1, 1.5]]       |
      | {"r": 1}              |
      | [["r", 1, 2]] * 65    |
