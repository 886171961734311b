Feature: All VMs together keep a fragile runner from falling over

  # Guards against messages that a fleet in good health pays for.
  Scenario: Without fragile runners, nothing is sent
    Given 7 VMs that share a runner that takes 8 calls and is sound
    When the VMs send 60 calls a second for 2 seconds
    Then no message was sent, and the runner has rejected calls

  # Guards against VMs that each send one call more than the runner bears.
  Scenario Outline: A fragile runner gets no more calls than it takes
    Given <vms> VMs that share a runner that takes 8 calls and bears <n>
    When the VMs send <rate> calls a second for 1 seconds
    And its room shrinks to 4 calls
    And the VMs send <rate> calls a second for 4 seconds
    Then the runner has fallen 0 times, and has taken at least <share> of 20 calls a second

    Examples:
      | vms | n | rate | share |
      | 7   | 2 | 18   | 0.6   |
      | 7   | 2 | 60   | 0.6   |
      | 70  | 4 | 60   | 0.6   |
      | 7   | 0 | 18   | 0.3   |

  # Guards against calls of VMs that don't know yet that the runner is fragile.
  Scenario Outline: News of a fragile runner is late
    Given 7 VMs that share a runner that takes 8 calls and bears 3
    And news arrives <late> seconds late
    When the VMs send 30 calls a second for <late> seconds
    And its room shrinks to 4 calls
    And the VMs send 60 calls a second for 3 seconds
    Then the runner has fallen 0 times, and has taken at least 0.6 of 20 calls a second

    Examples:
      | late |
      | 0.2  |
      | 1.0  |

  # Guards against rejections that the keeper doesn't hear of.
  Scenario: A rejection counts of which the keeper was not asked
    Given 7 VMs that share a runner that takes 0 calls and bears 3
    And its keeper knows that it is fragile, and has admitted a call
    When a VM that does not know it sends a call
    Then the keeper counts 1 rejection more

  # Guards against a rejection that is lost, or counted twice.
  Scenario Outline: Of a rejection the keeper is told twice
    Given 7 VMs that share a runner that takes 0 calls and bears 3
    And its keeper knows that it is fragile, and has admitted a call
    And of each two messages about an end <outcome>
    When a VM that does not know it sends a call
    Then the keeper counts 1 rejection more

    Examples:
      | outcome           |
      | the first is lost |
      | both arrive       |

  # Guards against a part of the fleet that sends what the whole may send.
  Scenario: A VM is cut off from the others
    Given 7 VMs that share a runner that takes 8 calls and bears 3
    When the VMs send 18 calls a second for 1 seconds
    And a VM other than the keeper is cut off
    And its room shrinks to 4 calls
    And the VMs send 60 calls a second for 4 seconds
    Then the runner has fallen 0 times, and has taken at least 0.5 of 20 calls a second

  # Guards against a runner without a keeper, and against two keepers.
  Scenario: The keeper is gone
    Given 7 VMs that share a runner that takes 8 calls and bears 4
    When the VMs send 18 calls a second for 1 seconds
    And its keeper ends, which the others learn 1 second later
    And its room shrinks to 4 calls
    And the others send 60 calls a second for 4 seconds
    Then the runner has fallen 0 times, and has taken at least 0.4 of 20 calls a second

  # Guards against calls of the process before that use up the room.
  Scenario: A runner restarts while it is still fragile
    Given 7 VMs that share a runner that takes 8 calls and bears 3
    When the VMs send 30 calls a second for 1 seconds
    And it restarts with room for 4 calls
    Then no VM knows that it is fragile
    When the VMs send 18 calls a second for 1 seconds
    And the VMs send 60 calls a second for 3 seconds
    Then all VMs know that it is fragile
    And the runner has fallen 0 times, and has taken at least 0.5 of 20 calls a second

  # Guards against one fall that is followed by those of the neighbours.
  Scenario: All runners of a service are fragile, and one falls
    Given 7 VMs that share 4 runners that take 8 calls and bear 2
    When the VMs send 60 calls a second for 1 seconds
    And the first runner falls, and its calls go to the others
    And the VMs send 200 calls a second for 3 seconds
    Then none of the others has fallen

  # Guards against a runner that is held back for good.
  Scenario: A runner is sound again
    Given 7 VMs that share a runner that takes 8 calls and bears 3
    When the VMs send 30 calls a second for 1 seconds
    Then all VMs know that it is fragile
    When it is sound again
    And the VMs send 30 calls a second for 2 seconds
    Then no VM knows that it is fragile

  # Guards against a first rejection that the keeper begins to count after.
  Scenario: The rejection counts that shows that a runner is fragile
    Given 7 VMs that share a runner that takes 0 calls and bears 1
    When the VMs send 20 calls a second for 0.05 seconds
    And the VMs send 40 calls a second for 2 seconds
    Then the runner has fallen 0 times, and has taken at least 0 of 20 calls a second

  Scenario Outline: Fragility is read from every kind of response
    Given 1 VMs that share 1 runners
    And runner 1 <fault> and bears 2 rejections
    When a VM gets a call
    Then VM 1 knows <known>

    Examples:
      | fault                      | known                      |
      | answers                    | that it bears 2 rejections |
      | fails                      | that it bears 2 rejections |
      | rejects calls              | that it bears 2 rejections |
      | is another runner          | nothing of its fragility   |
      | sends an unsigned response | nothing of its fragility   |

  # Guards against calls that wait in vain, and callers that return together.
  Scenario: While all runners are fragile, calls without room are refused
    Given 1 VMs that share 2 runners
    And runner 1 rejects calls and bears 1 rejections
    And runner 2 rejects calls and bears 1 rejections
    When a VM gets a call
    And 8 calls arrive at once
    Then the calls without room are refused within 0.5 seconds
    And their callers are told times that are spread, and the runners got 1 call each

  # Guards against sends that are not counted.
  Scenario Outline: Each send to a fragile runner is asked about
    Given 1 VMs that share 2 runners
    And runner 1 <fault> and bears 9 rejections
    And runner 2 <fault> and bears 9 rejections
    When VM 1 gets <kind> while it knows that they are fragile
    Then it has asked about each of at least 2 sends, and none is running

    Examples:
      | fault                   | kind    |
      | fails                   | a call  |
      | rejects calls           | a call  |
      | streams half and resets | a stream |

  # Guards against room that is lost to calls that never reached the runner.
  Scenario: A call that can't be sent takes no room
    Given 1 VMs that share 1 runners
    And runner 1 answers and bears 2 rejections
    When a VM gets a call
    And the runners are gone
    And 3 calls arrive at once
    Then no call is running at the runner, and no rejection is counted

  # Guards against VMs that each decide alone as they hear from nobody in time.
  Scenario Outline: All messages between VMs are late
    Given 7 VMs that share a runner that takes 8 calls and bears 3
    When the VMs send 30 calls a second for 1.5 seconds
    And all messages between VMs are <late> seconds late
    And its room shrinks to 4 calls
    And the VMs send 60 calls a second for 4 seconds
    Then the runner has fallen 0 times, and has taken at least 0.05 of 20 calls a second

    Examples:
      | late |
      | 0.2  |
      | 0.5  |
      | 1.0  |

  # Guards against calls that count as taken as their rejections come late.
  Scenario Outline: The keeper hears of rejections late
    Given 7 VMs that share a runner that takes 8 calls and bears <n>
    And <whose> messages about ends arrive <late> seconds late
    When the VMs send 30 calls a second for 1.5 seconds
    And its room shrinks to 4 calls
    And the VMs send <rate> calls a second for 4 seconds
    Then the runner has fallen 0 times, and has taken at least 0.4 of 20 calls a second

    Examples:
      | whose    | late | n | rate |
      | one VM's | 0.2  | 3 | 24   |
      | one VM's | 1.0  | 3 | 24   |
      | one VM's | 1.0  | 3 | 60   |
      | one VM's | 0.2  | 6 | 100  |
      | all VMs' | 0.2  | 3 | 60   |

  # Guards against room under a limit that is lost to calls not sent.
  Scenario: A runner that is fragile and names a limit needs room under both
    Given 1 VMs that share 1 runners
    And runner 1 hangs and bears 0 rejections
    When VM 1 knows that, and that it takes 4 calls a second, and gets 3 calls
    Then 1 call is sent, and room for 2 calls is left under the limit
