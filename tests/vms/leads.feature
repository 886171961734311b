Feature: Asking peers for news that the store has not brought

  # Symptom: four VMs never learn that a runner has left.
  # Events: two peers know of it, three others don't; records of all come five
  # times a second.
  # Cause: one timer for all peers, started anew by each that is no further.
  Scenario: A peer's lead is noticed among peers that are no further
    Given a VM that gives leads of 0.3 seconds
    When one peer is ahead and three are not for 0.5 seconds
    Then the VM asks the one that is ahead

  Scenario: A lead that is made up for in time is not asked about
    Given a VM that gives leads of 0.3 seconds
    When one peer is ahead for 0.2 seconds and then no more
    Then the VM asks nobody

  Scenario: News without a lead is asked for at once
    Given a VM that gives leads of 0 seconds
    When one peer is ahead and three are not for 0.1 seconds
    Then the VM asks the one that is ahead
