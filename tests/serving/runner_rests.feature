Feature: A VM keeps the rest that a runner has asked it for

  # Guards against calls to runners that have asked this VM to stay away.
  Scenario: A runner gets at most two calls in the rest that it asked for
    Given 2 VMs that share 2 runners
    And runner 1 rejects calls and asks for a rest of 3 seconds
    And runner 2 rejects calls and asks for a rest of 3 seconds
    When the VMs get 6 calls a second for 8 seconds
    Then no VM sends them more than 2 calls in a rest, from half a second on
