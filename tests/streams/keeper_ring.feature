Feature: The VMs that keep the record of a stream

  Scenario Outline: A record is kept by two VMs of two data centres
    Given a fleet of <vms> VMs in <data_centres> data centres
    Then each of 200 keys has 2 keepers in <kept_in> data centres
    And no VM keeps the records of its own streams

    Examples:
      | vms | data_centres | kept_in |
      | 7   | 3            | 2       |
      | 70  | 3            | 2       |
      | 6   | 1            | 1       |

  # Guards against a record that VMs with different views don't find.
  Scenario Outline: A keeper is found by a VM whose view of the fleet differs
    Given a fleet of <vms> VMs in <data_centres> data centres
    Then each of 200 keys is found after any VM is <change>

    Examples:
      | vms | data_centres | change  |
      | 7   | 3            | lost    |
      | 7   | 3            | added   |
      | 70  | 3            | lost    |
      | 6   | 1            | lost    |
      | 6   | 1            | added   |

  Scenario: Keepers are found in a fleet of any size
    Given a fleet of 0 VMs in 1 data centres
    Then no key has a keeper
    Given a fleet of 1 VMs in 1 data centres
    Then no VM keeps the records of its own streams

  Scenario: The records are spread evenly
    Given a fleet of 70 VMs in 3 data centres
    Then no VM keeps more than 3 times the mean of 7000 records
