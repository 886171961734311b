Feature: A few VMs follow the store on behalf of all

  # Symptom: a fleet of 195 that starts makes 13 calls to the store per VM.
  # Events: all processes start within 0.3 s, and none knows of a VM that
  # follows the store.
  Scenario: In a fleet that starts at once few VMs follow
    Given 195 VMs that all know each other after 0.5 seconds
    When they run for 4 seconds
    Then at most 3 of them follow at any time
    And 3 of them follow at the end

  Scenario: While the first VMs can't reach the store, others try
    Given 195 VMs that all know each other after 0.5 seconds
    And the store answers 2 VMs only
    When they run for 5 seconds
    Then 2 of them follow at the end

  Scenario: When the followers end, others replace them
    Given 20 VMs that all know each other after 0.5 seconds
    And they run for 4 seconds
    When the followers end
    And they run for 1 seconds
    Then 3 of them follow at the end

  Scenario: A VM that knows no other VM follows by itself
    Given 1 VMs that all know each other after 0.5 seconds
    When they run for 2 seconds
    Then 1 of them follow at the end
