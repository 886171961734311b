Feature: What the records of a fleet cost one VM

  Scenario: A fleet's records are heard, sent and looked at
    When the records of fleets of 3 and 30 entry VMs are measured
    Then each cost is known
    And the larger fleet's records take more of a core
