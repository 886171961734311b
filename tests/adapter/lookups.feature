Feature: Lists of VMs for callers of a large fleet

  # Guards against a fleet of which all callers know the same 64 VMs.
  Scenario: Each VM of a large fleet is listed to its part of the callers
    Given a fleet of 195 VMs
    When each of 600 callers looks VMs up at a VM of its own choice
    Then each list has 64 different addresses
    And each VM is in 0.7 to 1.4 times as many lists as the mean VM

  # Guards against callers that give up their connections at each lookup.
  Scenario: A caller gets the same list at all VMs
    Given a fleet of 195 VMs
    When a caller looks VMs up at 20 VMs
    Then all lists have the same addresses

  Scenario: The end of a VM changes a caller's list by one address
    Given a fleet of 195 VMs
    When a VM of a caller's list ends
    Then the caller's list has one new address, and the others stay

  Scenario: A small fleet is listed whole
    Given a fleet of 64 VMs
    When each of 20 callers looks VMs up at a VM of its own choice
    Then each list has 64 different addresses
