Feature: Record exchange of large fleets by aggregators

  # Symptom: first answers are late at a light load in a fleet of 195.
  # Cause: each record was sent to some of the VMs only, so known loads of
  # other VMs were up to two seconds old.
  Scenario Outline: Known loads are recent, and their cost stays flat
    Given <vms> VMs in <places> data centres that know each other
    When <calls> calls a second begin and end for 4 seconds
    Then known loads are older than 0.3 seconds in at most 1 of 100 samples
    And a VM sends and receives at most 30000 bytes a second on average
    And without calls the average is at most 12000 bytes a second

    Examples:
      | vms | places | calls |
      | 7   | 3      | 10    |
      | 70  | 3      | 110   |
      | 195 | 5      | 310   |

  Scenario Outline: All VMs of a fleet that starts at once find each other
    Given <vms> VMs in <places> data centres that start at once
    When the fleet runs for 3 seconds
    Then each VM considers all others alive
    And each VM has the exact loads of the others

    Examples:
      | vms | places |
      | 7   | 3      |
      | 24  | 3      |
      | 26  | 3      |
      | 70  | 3      |
      | 195 | 5      |

  # Symptom: when VMs end together, records of many other VMs are lost.
  # Events: all aggregators of a data centre lose power.
  Scenario: When all aggregators of a data centre end, others replace them
    Given 70 VMs in 3 data centres that know each other
    When all aggregators of a data centre end
    And the fleet runs for 1 seconds
    Then no live VM counts as dead
    When the fleet runs for 2 seconds
    Then each VM considers all others alive
    And each VM has the exact loads of the others

  # Symptom: limits, loads and membership cover one data centre only.
  # Events: a data centre is unreachable for seconds; each side drops the
  # records of the other and selects aggregators of its own.
  Scenario: The parts of a partitioned fleet find each other again
    Given 70 VMs in 3 data centres that know each other
    When a data centre is partitioned from the others for 8 seconds
    And the fleet runs for 4 seconds
    Then each VM considers all others alive
    And each VM has the exact loads of the others

  # Symptom: a VM gets no reports for as long as its aggregator lives.
  # Events: datagrams of the VM reach the aggregator, but not the reverse.
  Scenario: A VM that gets nothing from its aggregator uses another one
    Given 70 VMs in 3 data centres that know each other
    When a VM receives nothing from its aggregator for 3 seconds
    Then it considers all others alive throughout

  # Symptom: a VM gets no reports while its aggregator is slow.
  Scenario: VMs leave an aggregator that is slow
    Given 70 VMs in 3 data centres that know each other
    When an aggregator stalls for 3 seconds
    Then the VMs that used it consider all VMs but it alive throughout

  # Symptom: a VM that has joined gets no records of the existing VMs.
  Scenario: VMs that join together are soon known to all
    Given 40 VMs in 3 data centres that know each other
    When 30 VMs join at once
    And the fleet runs for 3 seconds
    Then each VM considers all others alive
    And each VM has the exact loads of the others

  Scenario: A VM that ended is soon alive to no other VM
    Given 70 VMs in 3 data centres that know each other
    When a third of the VMs end
    And the fleet runs for 3 seconds
    Then each VM considers all others alive

  # Symptom: hundreds of VMs a second count as dead in a rolling restart and after.
  # Events: each start or runner change alters all records; an aggregator's
  # link is full; its VMs switch to others and ask for all.
  Scenario Outline: During a rolling restart no other VM counts as dead
    Given <vms> VMs in <places> data centres that know each other
    When for 10 seconds each 0.8 seconds a VM restarts and a runner changes
    Then no VM that kept running ever counted as dead
    And a VM sends at most 250000 bytes a second

    Examples:
      | vms | places |
      | 70  | 3      |
      | 75  | 3      |

  # The sums by which limits are enforced only rise, whatever is lost. A total
  # of a former process that is taken for one of the next would lower them.
  Scenario Outline: Under loss and restarts no false total is received
    Given 60 VMs in 3 data centres that know each other, at seed <seed>
    When for 6 seconds 5 in 100 datagrams are lost and VMs restart
    Then no received total exceeds the true one
    When the network loses nothing for 6 seconds
    Then each VM considers all others alive
    And each VM has the exact loads of the others
    And each VM has all totals of the others

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
