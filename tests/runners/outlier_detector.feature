Feature: Runners that fail part of their calls

  # Guards against permanently losing one in fifteen calls. A runner resets
  # four of ten calls but passes its health check, and no circuit breaker opens
  # because each VM counts only consecutive failures.
  Scenario: A runner that fails four calls in ten is ejected
    Given 5 VMs and a service with 6 runners
    When runner 1 fails 40 in 100 calls for 3 seconds
    Then all VMs eject runner 1 alone

  Scenario: No runner is ejected if all runners of a service fail alike
    Given 5 VMs and a service with 6 runners
    When all runners fail 40 in 100 calls for 6 seconds
    Then no VM ejects a runner

  Scenario: A normal level of failures ejects no runner
    Given 5 VMs and a service with 6 runners
    When all runners fail 4 in 100 calls for 20 seconds
    Then no VM ejects a runner

  Scenario: A returning runner that still fails is ejected again
    Given 5 VMs and a service with 6 runners
    When runner 1 fails 40 in 100 calls for 30 seconds
    Then runner 1 got less than a third of an equal share of the calls

  Scenario: At most a third of a service's runners is ejected
    Given 5 VMs and a service with 3 runners
    When runners 1 and 2 fail 80 in 100 calls for 5 seconds
    Then no VM ejects more than 1 runners

  # Guards against slow ejection at 2 or 3 calls a second: of five runners that
  # reset 3 in 10 calls for 6 s, one was ejected after 3 s and four after 4 s,
  # a dozen streams late, as 3 failures were required whatever the others did.
  Scenario: Two failures suffice if the calls to other runners succeed
    Given 7 VMs and a service with 10 runners
    When 3 runners fail 60 in 100 of 20 calls a second for 3 seconds, 20 times
    Then a runner was ejected within 1.0 seconds on average

  # Guards against repeatedly ejecting one of three runners that all fail alike:
  # if one call in seven fails everywhere, three failures at one runner and none
  # at another occur by chance.
  Scenario: Chance failures rarely eject a runner
    Given 7 VMs and a service with 3 runners
    When 3 runners fail 14 in 100 of 18 calls a second for 60 seconds, 10 times
    Then a runner was ejected at most 2.0 times in each run

  Scenario: The reason for an ejection is reported
    Given 5 VMs and a service with 6 runners
    When runner 1 fails 2 of 2 calls at VM 1, and the others none of 10
    Then VM 1 ejects runner 1 for 3 seconds, for 2 failures of 2 calls against a share of 0.0

  # Guards against a float overflow at hundreds of failures, which stopped
  # both outlier detection and the processing of peer loads.
  Scenario: A runner that fails hundreds of calls within the window
    Given 5 VMs and a service with 3 runners
    When runner 1 fails 700 of 1400 calls at VM 1, and the others none
    Then VM 1 ejects runner 1
