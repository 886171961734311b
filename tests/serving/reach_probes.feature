Feature: A VM notices that it reaches no runner, and its return

  # Guards against a VM that keeps its callers though it serves none of them,
  # and that refuses its first calls after the cut as it finds no runner.
  Scenario: Connections are reset and refused for a while
    Given a VM that probes 4 runners
    When calls are made for 0.5 seconds
    Then the VM has made no probe
    When its runners reset and refuse connections
    And calls are made for 2.5 seconds
    Then the VM is isolated
    And its peers were told of it
    And it logs "runners_unreachable" with its evidence
    When its runners accept connections again
    And the VM is no longer isolated
    And a call is made
    Then the status is 200
    And its peers were told of it
    And it logs "runners_reachable" with its duration

  # Guards against VMs that are asked to help though they open no connection
  # themselves.
  Scenario: Open connections live on while new ones are refused
    Given a VM that probes 4 runners
    When calls are made for 0.5 seconds
    And its runners refuse new connections
    And 8 calls at once are made for 1.5 seconds
    Then the VM has no new connections
    And its peers were told of it
    And it logs "runners_unreachable" with its evidence
    When its runners accept connections again
    And the VM has its paths again
    Then its peers were told of it

  # Guards against a VM that takes a relay on the way for its runners.
  Scenario: Connections are accepted and reset at once
    Given a VM that probes 4 runners
    When calls are made for 0.5 seconds
    And its runners accept connections and reset them
    And calls are made for 2.0 seconds
    Then the VM is isolated

  Scenario: A runner that is down doesn't isolate the VM
    Given a VM that probes 4 runners
    When calls are made for 0.5 seconds
    And one of its runners resets and refuses connections
    And calls are made for 2.0 seconds
    Then the VM is not isolated
    And the last status is 200

  # Guards against probes whose connections are wasted.
  Scenario: The connection of a probe serves the next call
    Given a VM that probes 1 runners
    When others are isolated and the VM has made a probe
    And a call is made
    Then the runner has had 1 connection
    And the VM has made 1 probe

  Scenario: Gauges tell of isolation and probes
    Given a VM that probes 2 runners
    When calls are made for 0.2 seconds
    And its runners reset and refuse connections
    And calls are made for 1.0 seconds
    Then the gauge isolated is 1, and probes are counted
