Feature: What entry VMs fetch from each other

  # Symptom: a version with 1,800 routes more is in force at half of 75 VMs
  # only after the bound, and a runner's leaving comes late there, too.
  # Events: three VMs have the version from the store; all others fetch it from
  # them, 0.4 MB each, over links of which the slowest take 0.7 s for that;
  # fetches end at 0.8 s and begin anew elsewhere.
  # Cause: a long configuration sent as it is, and a time that fits short ones.
  Scenario: A long configuration travels in little time
    Given a VM with a configuration of 1900 routes
    When 20 other VMs fetch it
    Then each has it as it was written
    And it was packed once, into less than a quarter of its length
    And a fetch of it may take 2 seconds

  Scenario: A configuration that is not newer is not sent
    Given a VM with a configuration of 3 routes
    When a VM that has the same version fetches it
    Then it gets none
