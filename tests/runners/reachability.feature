Feature: Whether a VM has lost its paths to all runners

  # Guards against VMs that keep their callers although they reach no runner.
  Scenario Outline: A VM that is cut from all runners notices
    Given VMs that call <runners> runners of <services> services in <zones> data centres
    When a VM with a call each <interval> seconds is cut by <cut>
    Then it is isolated within <within> seconds, in each play
    And it has made at most <probes> probes by then
    And no VM has made a probe before

    Examples:
      | cut   | interval | runners | services | zones | within | probes |
      | hang  | 1.0      | 1       | 1        | 1     | 2.3    | 2      |
      | hang  | 1.0      | 2       | 1        | 1     | 2.3    | 3      |
      | hang  | 1.0      | 12      | 2        | 2     | 2.1    | 4      |
      | hang  | 1.0      | 60      | 5        | 3     | 2.1    | 5      |
      | hang  | 0.01     | 60      | 5        | 3     | 1.0    | 6      |
      | reset | 1.0      | 1       | 1        | 1     | 1.0    | 2      |
      | reset | 1.0      | 60      | 5        | 3     | 1.0    | 5      |
      | reset | 0.01     | 1       | 1        | 1     | 0.2    | 2      |
      | reset | 0.01     | 60      | 5        | 3     | 0.5    | 5      |

  # Guards against VMs that stay off the lists after a cut.
  Scenario Outline: The end of a cut is seen at once, at the cost of few probes
    Given VMs that call 60 runners of 5 services in 3 data centres
    When a VM with a call each <interval> seconds is cut by <cut> for 12 seconds
    Then it is connected within 0.9 seconds of the end, in each play
    And it has made at most 32 probes by then

    Examples:
      | cut   | interval |
      | hang  | 1.0      |
      | reset | 1.0      |
      | hang  | 0.01     |
      | reset | 0.01     |

  # Guards against VMs that leave the lists because some runners crashed.
  Scenario Outline: Runners that are down don't isolate a VM
    Given VMs that call 60 runners of 5 services in 3 data centres
    When <down> are down for 10 seconds, with a call each <interval> seconds
    Then no VM is ever isolated, in each play
    And each VM has made at most <probes> probes

    Examples:
      | down                            | interval | probes |
      | one runner                      | 1.0      | 2      |
      | one runner                      | 0.01     | 2      |
      | all runners of one service      | 1.0      | 20     |
      | all runners of one service      | 0.01     | 40     |
      | all runners of one data centre  | 1.0      | 20     |
      | all runners of one data centre  | 0.01     | 40     |

  # Guards against the same where only the dead service is called.
  Scenario: A VM that calls only a dead service is not isolated
    Given VMs that call 60 runners of 5 services in 3 data centres
    And they call one service only
    When all runners of one service are down for 10 seconds, with a call each 1.0 seconds
    Then no VM is ever isolated, in each play
    And each VM has made at most 40 probes

  Scenario: All runners down look like a cut
    Given VMs that call 60 runners of 5 services in 3 data centres
    When all runners are down for 3 seconds, with a call each 1.0 seconds
    Then all VMs are isolated, in each play

  Scenario Outline: Only the VMs that are cut are isolated
    Given VMs that call 60 runners of 5 services in 3 data centres
    When <cut> of 8 VMs are cut by hang for 4 seconds
    Then these and no others are isolated

    Examples:
      | cut |
      | 1   |
      | 4   |
      | 7   |
      | 8   |

  # Guards against VMs that forward streams that would have gone on, and that
  # change their state and the lists several times a second.
  Scenario Outline: Open connections live on while new ones fail
    Given VMs that call 60 runners of 5 services in 3 data centres
    When a VM with a stream and a call each <interval> seconds is cut by <cut> for 12 seconds
    Then it has no new connections within <within> seconds, in each play
    And it is never isolated
    And it is connected within 0.5 seconds of the end

    Examples:
      | cut      | interval | within |
      | refuse   | 1.0      | 7.0    |
      | refuse   | 0.01     | 0.5    |
      | hang_new | 1.0      | 9.0    |
      | hang_new | 0.01     | 1.2    |

  # Guards against flapping with bytes that come seldom.
  Scenario: A slow stream lives on while new connections fail
    Given VMs that call 60 runners of 5 services in 3 data centres
    When a VM with a stream of a byte each 3 seconds is cut by refuse for 60 seconds
    Then it becomes isolated at most 3 times

  Scenario: A slow first answer costs one probe
    Given VMs that call 60 runners of 5 services in 3 data centres
    When a VM gets its answers after 1.0 seconds, with a call each 3.0 seconds, for 30 seconds
    Then no VM is ever isolated, in each play
    And no VM has made more probes than calls

  Scenario: All runners fall silent for a second
    Given VMs that call 60 runners of 5 services in 3 data centres
    When all runners are silent for 1 second, with a call each 0.01 seconds
    Then no VM is ever isolated, in each play
    And each VM has made at most 1 probes

  Scenario: A VM without calls probes once others are isolated
    Given a VM without calls that knows 3 runners
    When 5 seconds pass for it
    Then it has made no probe
    When 2 of 7 peers say that they are isolated and 1 second passes
    Then it has made a probe
    And its evidence names 5 peers that reach runners and 2 that don't

  Scenario: A new VM is suspected until its probes have failed
    Given a VM without calls that knows 3 runners
    Then it is suspected
    When a connection of a call fails at each runner
    Then it is suspected
    When its probes fail
    Then it is isolated
    When a byte arrives
    Then it is not isolated

  # Guards against timeouts of a process that was suspended, which all fire as
  # it goes on.
  Scenario: A suspended process starts anew
    Given a VM without calls that knows 3 runners
    And it is isolated by failed probes
    When it is suspended for 5 seconds
    And a connection of a call fails at each runner
    Then it is suspected
    And its evidence names no failure

  Scenario: A VM that hears no runner vouches for nothing
    Given a VM without calls that knows 3 runners
    Then it can't say anything bad of a runner
    When a byte arrives
    Then it can say something bad of a runner
    When it is isolated by failed probes
    Then it can't say anything bad of a runner

  # Guards against a VM whose periodic work fails while a runner that it is
  # probing has left the list.
  Scenario: A runner leaves the list while it is being probed
    Given a VM without calls that knows 20 runners
    When a connection of a call fails at 3 runners
    And it probes, and the runners that it probes leave the list
    Then it goes on probing others

  Scenario: Without listed runners nothing is probed
    Given a VM without calls that knows 0 runners
    When a call waits for 3 seconds
    Then it has made no probe
    And it is suspected

  # Random services, data centres, rates and troubles.
  Scenario: A VM is isolated if it is cut, and only then
    Then random VMs are isolated only while cut, and find it out in time
    And a count of failures gets at least one in 10 of these wrong
