Feature: A VM keeps away from a runner that says that it leaves

  # Guards against calls to a runner that leaves while the store is down.
  Scenario: A runner that says so gets no more calls of the VM
    Given 2 VMs that share 2 runners
    And runner 1 says that it leaves
    When the VMs get 20 calls a second for 3 seconds
    Then runner 1 gets no call of a VM that it told half a second before
    And all calls are answered

  # Guards against calls to a runner that leaves as an old entry lists it.
  Scenario: An entry that lists the runner as ready doesn't undo its word
    Given 2 VMs that share 2 runners
    And runner 1 says that it leaves
    When the VMs get 20 calls a second for 1 seconds
    And a later entry lists runner 1 as ready
    And the VMs get 20 calls a second for 2 seconds
    Then runner 1 gets no call of a VM that it told half a second before

  Scenario: A new start under the same name is used again
    Given 1 VMs that share 1 runners
    And runner 1 says that it leaves
    When VM 1 gets a call
    And VM 1 gets a call
    Then the call is refused within 0.2 seconds, to return after 0.3 to 0.5 seconds
    When runner 1 starts again
    And VM 1 gets a call
    Then the call is answered

  Scenario: A stream at a runner that says that it leaves goes on
    Given a route for streams
    And a runner that streams
    And the runner says that it leaves
    When a call is made
    Then the stream has events 1 to 6 and is complete
