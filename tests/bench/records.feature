Feature: Processor time that a VM spends on the records of its fleet

  Scenario: Cost of received records, sent records and ticks
    When the cost of the records is measured for fleets of 3 and 30 entry VMs
    Then each cost is positive
    And the records of the larger fleet use a larger fraction of a core
