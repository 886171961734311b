Feature: Retries that the fleet may send

  Scenario: A quiet service may still retry
    Given 4 VMs with a ratio of 0.2 and 40 retries in 10 seconds
    Then VM 1 may retry 8 times and not more

  Scenario: Busy VMs may retry more
    Given 4 VMs with a ratio of 0.2 and 40 retries in 10 seconds
    When VM 1 sends 100 requests
    Then VM 1 may retry 25 times and not more

  # Symptom: runners that fail are sent five times their load.
  # Events: a service fails for seconds, each failed call is sent again, and
  # the retries fail too.
  # Cause: retries limited only for each call, not for the service.
  Scenario: The whole fleet stays within its allowance, whoever sends
    Then in no window do the VMs together retry more than is allowed
