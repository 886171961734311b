Feature: The limits that runners name are kept by all VMs together

  # Guards against a runner in need that gets many times the calls it takes.
  Scenario: A runner gets the calls that it takes from all VMs together
    Given 4 VMs that share 3 runners
    And each runner takes 0.1 seconds for a call
    And runner 1 names a limit of 2 calls a second
    When the VMs get 40 calls a second for 9 seconds
    Then from 3 seconds on runner 1 gets at most 17 calls in any 4 seconds
    And from 3 seconds on it gets at least 0.9 of the 2 calls a second
    And all calls are answered

  # Guards against repeats that a limit does not count.
  Scenario: Repeats count like first sends
    Given 2 VMs that share 2 runners
    And runner 1 fails and names a limit of 1 calls a second
    When the VMs get 20 calls a second for 9 seconds
    Then from 3 seconds on runner 1 gets at most 11 calls in any 4 seconds

  Scenario Outline: A limit is read from every kind of response
    Given 1 VMs that share 1 runners
    And runner 1 <fault> and names a limit of 0.5 calls a second
    When a VM gets a call
    Then VM 1 knows a limit of 0.5 calls a second

    Examples:
      | fault         |
      | answers       |
      | fails         |
      | rejects calls |

  # Guards against a limit taken from a response that isn't the runner's own.
  Scenario Outline: A response of something else names no limit
    Given 1 VMs that share 1 runners
    And runner 1 <fault> and names a limit of 0.5 calls a second
    When a VM gets a call
    Then VM 1 knows no limit

    Examples:
      | fault                     |
      | is another runner         |
      | sends an unsigned response |

  Scenario: All VMs learn of a limit, and that it is lifted
    Given 12 VMs that share 1 runners
    And runner 1 names a limit of 30 calls a second
    When a VM gets a call
    Then within 2 seconds all VMs know a limit of 30 calls a second
    When the runner names no limit any more
    And a VM gets a call
    Then within 2 seconds no VM knows a limit

  # Guards against calls that wait in vain, and callers that return together.
  Scenario: Calls without room at any runner are refused at once
    Given 1 VMs that share 1 runners
    And runner 1 names a limit of 0.5 calls a second
    When a VM gets a call
    And 6 calls arrive at once
    Then the calls without room are refused within 0.5 seconds
    And the refused callers are told different times to come back, none sooner than room

  Scenario: A call waits for a turn that comes soon
    Given 1 VMs that share 1 runners
    And runner 1 names a limit of 10 calls a second
    When a VM gets a call
    And 10 calls arrive at once
    Then at least 3 of the calls are answered, and none waits longer than 0.5 seconds

  # Guards against a runner that nobody sends calls while its keeper is silent.
  Scenario: Another VM admits calls while the keeper does not answer
    Given 3 VMs that share 2 runners
    And runner 1 names a limit of 4 calls a second
    And the keeper of runner 1 does not answer
    When the VMs get 40 calls a second for 6 seconds
    Then all calls are answered
    And runner 1 gets some calls, and at most 29 in any 4 seconds

  # Guards against room that is given back for calls that nobody counted.
  Scenario: A call that was admitted without a limit gives nothing back
    Given 1 VMs that share 1 runners
    When VM 1 takes a permit, and the runner names a limit of 1 calls a second
    And the permit is given back 10 times
    Then VM 1 admits at most 0 calls at once
