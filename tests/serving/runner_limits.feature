Feature: The limits that runners name are kept by all VMs together

  # Guards against a runner in need that gets many times the calls it takes.
  Scenario: A runner gets the calls that it takes from all VMs together
    Given 4 VMs that share 3 runners
    And runner 1 names a limit of 2 calls a second
    When the VMs get 40 calls a second for 9 seconds
    Then from 3 seconds on runner 1 gets at most 17 calls in any 4 seconds
    And from 3 seconds on it gets at least 0.9 of the 2 calls a second
    And all calls are answered
