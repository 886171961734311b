Feature: Fleet-wide limit on retries

  Scenario: A VM may retry by its share of the fixed number, once accrued
    Given 4 VMs with a ratio of 0.2 and 40 retries in 10 seconds
    When VM 1 waits for 30 seconds
    Then VM 1 may retry 4 times and not more
    And VM 1 may retry 4 times and not more 10 seconds later

  Scenario: Busy VMs may retry more
    Given 4 VMs with a ratio of 0.2 and 40 retries in 10 seconds
    When VM 1 gets 100 requests in the last of 30 seconds
    Then VM 1 may retry 13 times and not more

  # Guards against a VM that takes itself for the whole fleet.
  Scenario: A VM that doesn't know the size of its fleet goes by its requests
    Given 1 VM of an unknown fleet with a ratio of 0.2 and 40 retries in 10 s
    When VM 1 waits for 30 seconds
    Then VM 1 may retry 0 times and not more
    When VM 1 gets 100 requests in the last of 30 seconds
    Then VM 1 may retry 9 times and not more

  # Guards against requests and retries that a process before has counted.
  Scenario Outline: The whole fleet stays within its allowance
    Given <vms> VMs that are always asked to retry, some busier than others
    When they start, end, pause and take over callers of others at random
    Then in no window they retry more than is allowed
    And each window that a VM lives through brings it retries

    Examples:
      | vms |
      | 1   |
      | 7   |
      | 70  |
