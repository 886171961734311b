Feature: A VM keeps the rest that a runner has asked it for

  # Guards against calls to runners that have asked this VM to stay away.
  Scenario: A runner gets at most two calls in the rest that it asked for
    Given 2 VMs that share 2 runners
    And runner 1 rejects calls and asks for a rest of 3 seconds
    And runner 2 rejects calls and asks for a rest of 3 seconds
    When the VMs get 6 calls a second for 8 seconds
    Then no VM sends them more than 2 calls in a rest, from half a second on

  Scenario: Other VMs go on sending calls to a runner that asked one for rest
    Given 2 VMs that share 1 runners
    And runner 1 rejects calls, then answers and asks for a rest of 3 seconds
    When VM 1 gets a call
    And VM 2 gets a call
    Then the call is answered

  # Guards against a rest that is kept longer than it was asked for.
  Scenario: The VM sends calls again when the rest is over
    Given 2 VMs that share 1 runners
    And runner 1 rejects calls, then answers and asks for a rest of 1 seconds
    When VM 1 gets a call
    And 1.05 seconds pass
    And VM 1 gets a call
    Then the call is answered

  Scenario: A call waits for the end of a rest that ends soon
    Given 1 VMs that share 1 runners
    And runner 1 rejects calls, then answers and asks for a rest of 0.2 seconds
    When VM 1 gets a call
    And VM 1 gets a call
    Then the call is answered

  # Guards against calls that wait in vain until their deadline.
  Scenario: While all runners rest, calls are refused at once
    Given 1 VMs that share 1 runners
    And runner 1 rejects calls and asks for a rest of 3 seconds
    When VM 1 gets a call
    And VM 1 gets a call
    Then the call is refused within 0.2 seconds, to return after 2.5 to 4 seconds

  # Guards against callers that stay away although another runner serves.
  Scenario: A rest of some runners is not passed on to callers
    Given 1 VMs that share 4 runners
    And runner 1 rejects calls and asks for a rest of 9 seconds
    And runner 2 rejects calls and asks for a rest of 9 seconds
    And runner 3 rejects calls and asks for a rest of 9 seconds
    When VM 1 gets a call
    Then the call is answered

  Scenario: Asking for rest is no failure of the runner
    Given 1 VMs that share 1 runners
    And runner 1 rejects calls and asks for a rest of 0.1 seconds
    When VM 1 gets a call
    Then VM 1 has counted no failure of runner 1
