Feature: Runners that fail part of their calls

  # Symptom: one in fifteen calls breaks, all day long for some callers.
  # Events: a runner resets four of ten calls; its health check is good, and
  # the other six are answered well, so no circuit breaker opens.
  # Cause: failures counted in a row, and by each VM for itself.
  Scenario: A runner that fails four in ten is left out
    Given 5 VMs and a service with 6 runners
    When runner 1 fails 40 in 100 calls for 3 seconds
    Then all VMs leave out runner 1 alone

  Scenario: A service whose runners all fail alike keeps them all
    Given 5 VMs and a service with 6 runners
    When all runners fail 40 in 100 calls for 6 seconds
    Then no VM leaves out a runner

  Scenario: A few failures of an ordinary day change nothing
    Given 5 VMs and a service with 6 runners
    When all runners fail 4 in 100 calls for 20 seconds
    Then no VM leaves out a runner

  Scenario: A runner comes back, and is found again sooner than it is trusted
    Given 5 VMs and a service with 6 runners
    When runner 1 fails 40 in 100 calls for 30 seconds
    Then runner 1 got less than a third of its share of the calls

  Scenario: Never more than a third of a service is left out
    Given 5 VMs and a service with 3 runners
    When runners 1 and 2 fail 80 in 100 calls for 5 seconds
    Then no VM leaves out more than 1 runners
