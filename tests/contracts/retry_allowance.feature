Feature: Fleet-wide limit on retries

  Scenario: A service with little traffic may still retry
    Given 4 VMs with a ratio of 0.2 and 40 retries in 10 seconds
    Then VM 1 may retry 8 times and not more

  Scenario: Busy VMs may retry more
    Given 4 VMs with a ratio of 0.2 and 40 retries in 10 seconds
    When VM 1 sends 100 requests
    Then VM 1 may retry 25 times and not more

  # Symptom: failing runners get five times their load.
  # Events: a service fails for seconds, and failed retries are sent again.
  # Cause: retries are limited for each call, not for the service.
  Scenario: The whole fleet stays within its allowance
    Then in no window the VMs together retry more than is allowed
