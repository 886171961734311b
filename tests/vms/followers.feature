Feature: A few VMs follow the store for all

  # Symptom: a fleet of 195 that starts makes 13 calls to the store a VM.
  # Events: all processes start within 0.3 s, and each knows of nobody who
  # follows the store.
  Scenario: Of a fleet that starts at once few follow
    Given 195 VMs of which each hears all others after 0.5 seconds
    When they run for 4 seconds
    Then at most 3 of them follow at any time
    And 3 of them follow in the end

  Scenario: While the first ones can't reach the store, others try
    Given 195 VMs of which each hears all others after 0.5 seconds
    And the store answers 2 VMs only
    When they run for 5 seconds
    Then 2 of them follow in the end

  Scenario: When those that follow end, others take their place
    Given 20 VMs of which each hears all others after 0.5 seconds
    And they run for 4 seconds
    When those that follow end
    And they run for 1 seconds
    Then 3 of them follow in the end

  Scenario: A VM that hears nobody follows by itself
    Given 1 VMs of which each hears all others after 0.5 seconds
    When they run for 2 seconds
    Then 1 of them follow in the end
