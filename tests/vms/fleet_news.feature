Feature: What VMs of a large fleet tell each other, and by whom

  # Symptom: first answers late at a light load in a fleet of 195.
  # Cause: each record went to some of the others only, so VMs knew each
  # other's loads as they had been up to two seconds before.
  Scenario Outline: News of loads is fresh, and its cost stays flat
    Given <vms> VMs in <places> data centres that know each other
    When <calls> calls a second begin and end for 4 seconds
    Then loads that VMs know are older than 0.3 seconds at most 1 time in 100
    And a VM sends and receives at most 30000 bytes a second on the mean
    And without calls it is at most 12000 bytes a second

    Examples:
      | vms | places | calls |
      | 7   | 3      | 10    |
      | 70  | 3      | 110   |
      | 195 | 5      | 310   |

  Scenario Outline: All VMs of a fleet that starts at once hear each other
    Given <vms> VMs in <places> data centres that start at once
    When the fleet goes on for 3 seconds
    Then each VM hears all others
    And each knows the loads of the others exactly

    Examples:
      | vms | places |
      | 7   | 3      |
      | 24  | 3      |
      | 26  | 3      |
      | 70  | 3      |
      | 195 | 5      |

  # Symptom: VMs that end at once take the news of many others with them.
  # Events: all VMs that aggregate in a data centre lose their power.
  Scenario: When all aggregators of a data centre end, others take their part
    Given 70 VMs in 3 data centres that know each other
    When all aggregators of a data centre end
    And the fleet goes on for 1 seconds
    Then no living VM counts as dead
    When the fleet goes on for 2 seconds
    Then each VM hears all others
    And each knows the loads of the others exactly

  # Symptom: limits, loads and who is alive are those of one data centre only.
  # Events: a data centre can't be reached for seconds; each side forgets the
  # other and makes up aggregators of its own.
  Scenario: Parts of a fleet that lost each other find together again
    Given 70 VMs in 3 data centres that know each other
    When a data centre is cut off for 8 seconds
    And the fleet goes on for 4 seconds
    Then each VM hears all others
    And each knows the loads of the others exactly

  # Symptom: a VM is told nothing for as long as its aggregator lives.
  # Events: datagrams get from the VM to the aggregator, but not back.
  Scenario: A VM that hears nothing from its aggregator uses another one
    Given 70 VMs in 3 data centres that know each other
    When a VM hears nothing from its aggregator for 3 seconds
    Then it hears all others all the while

  # Symptom: as before, of an aggregator that has become slow.
  Scenario: VMs leave an aggregator that is slow
    Given 70 VMs in 3 data centres that know each other
    When an aggregator stands still for 3 seconds
    Then the VMs that used it hear all others but it all the while

  # Symptom: a VM that joined is told nothing by the many that were there.
  Scenario: VMs that join in a wave are soon known to all
    Given 40 VMs in 3 data centres that know each other
    When 30 VMs join at once
    And the fleet goes on for 3 seconds
    Then each VM hears all others
    And each knows the loads of the others exactly

  Scenario: A VM that ended is out of all VMs' sight soon
    Given 70 VMs in 3 data centres that know each other
    When a third of the VMs end
    And the fleet goes on for 3 seconds
    Then each VM hears all others

  # Symptom: hundreds of VMs a second count as dead while VMs are restarted
  # one after the other, and long after.
  # Events: each start and each change of a runner was told by a record of
  # every VM; the link of the VM that told them was full, so those that it
  # served left it for others, which were asked for everything.
  Scenario Outline: While VMs are restarted in turn nobody else counts as dead
    Given <vms> VMs in <places> data centres that know each other
    When for 10 seconds each 0.8 seconds a VM restarts and a runner changes
    Then no VM that ran on ever counted as dead
    And a VM sends at most 250000 bytes a second

    Examples:
      | vms | places |
      | 70  | 3      |
      | 75  | 3      |

  # The sums that limits are kept by only rise, whatever gets lost: a total
  # of a former process that is taken for one of the next would lower them.
  Scenario Outline: Under loss and restarts nothing false is told
    Given 60 VMs in 3 data centres that know each other, at seed <seed>
    When for 6 seconds 5 in 100 datagrams are lost and VMs restart
    Then no total was told that was never true
    When the network is sound again for 6 seconds
    Then each VM hears all others
    And each knows the loads of the others exactly
    And each knows all totals of the others

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
