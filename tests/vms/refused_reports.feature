Feature: Reports of refused connections on their way to the other VMs

  # Guards against VMs that each meet a crashed runner, because reports are lost
  # in aggregators or wait for a full record.
  Scenario Outline: All VMs soon know of a refused connection, and of its end
    Given <vms> VMs in 3 data centres that know each other
    When 2 VMs report a runner that refuses connections
    And the fleet runs for 0.5 seconds
    Then all other VMs hear 2 reports
    When the VMs report it no longer
    And the fleet runs for 0.8 seconds
    Then all other VMs hear 0 reports

    Examples:
      | vms |
      | 7   |
      | 61  |
      | 195 |
