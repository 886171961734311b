Feature: A customer's rate limit that all VMs enforce together

  Scenario: A VM may use what another VM leaves
    Given 3 VMs that share a limit of 100 a second and a burst of 100
    When VM 1 has admitted 150 units over 5 seconds and sent its total
    Then VM 2 admits 85 units at once

  # Symptom: a customer gets twice its limit during a network partition.
  # Events: each side receives no totals and refills the whole limit.
  # Cause: silence of a VM is taken as no use of the limit.
  Scenario Outline: Both sides of a network partition together keep the limit
    Given <vms> VMs that share a limit of 100 a second and a burst of 100
    And they have exchanged totals for 5 seconds
    When the first <cut> lose the others and all are flooded for 20 seconds
    Then together they admit at most what the limit and one interval allow

    Examples:
      | vms | cut |
      | 2   | 1   |
      | 7   | 2   |
      | 7   | 3   |

  Scenario: One VM alone in a fleet has the whole limit
    Given 1 VMs that share a limit of 100 a second and a burst of 100
    When VM 1 is flooded for 10 seconds
    Then VM 1 has admitted at least 900 units

  Scenario: A call that did not run is refunded
    Given 1 VMs that share a limit of 100 a second and a burst of 100
    And they have exchanged totals for 5 seconds
    When VM 1 admits 50 units and is refunded 50
    Then VM 1 admits 50 units at once

  Scenario: Shared counting refuses less than fixed equal shares
    Then shared counting keeps the limit and refuses less than equal shares

  # Symptom: a customer's limit is exceeded by two bursts in a window.
  # Events: all VMs restart at once, or are flooded while the level is full.
  # Cause: a VM does not know yet what the others admit at the same moment.
  Scenario Outline: A flood at all VMs stays near the limit
    Given <vms> VMs that share a limit of 100 a second and a burst of 100
    When all of them <event> and are flooded for 8 seconds
    Then together they admit at most 1.1 times the limit of that time

    Examples:
      | vms | event             |
      | 7   | have just started |
      | 20  | have just started |

  Scenario: A process that starts is told the level only once
    Given 3 VMs that share a limit of 100 a second and a burst of 100
    When a VM starts and is told a level of 80, then one of 10
    Then it admits 75 units and not 20 more

  # Symptom: after a power loss calls are refused, or each VM admits a burst.
  # Events: all processes start at once and read the same checkpoint.
  # Cause: each process uses the whole level alone, or none uses it.
  Scenario: Processes that start together share the level that they read
    Given 7 VMs that share a limit of 100 a second and a burst of 100
    When all of them restart, are told a level of 90 and are flooded
    Then they admit at least 80 units and at most 150 in the first second

  # Symptom: an eighth of all calls is refused while VMs restart in turn.
  # Events: a new process receives another one's total of a long run time.
  # Cause: the whole total is charged as if those calls were made just now.
  Scenario: Units admitted before the first contact are not charged
    Given 20 VMs that share a limit of 100 a second and a burst of 100
    When a VM started 5 seconds ago receives a first total of 5000 units
    Then it admits 80 units

  # Symptom: calls are refused after an aggregator was suspended.
  # Events: the aggregator relays a total that is older than one before.
  # Cause: the lower total counts as a refund that the next total takes back.
  Scenario: Outdated totals that are relayed are no refunds
    Given 20 VMs that share a limit of 100 a second and a burst of 100
    When totals of 1000, of 400 and of 1010 units are relayed to a VM
    Then it admits 80 units

  # Symptom: in a fleet of 195, calls within the limit are refused for seconds.
  # Events: VMs restart in turn; a new keeper has an eighth of the level.
  # Cause: the rest of the level is withheld while any VM is silent.
  Scenario: A process that starts while a VM is silent uses the whole level
    Given 20 VMs that share a limit of 100 a second and a burst of 100
    When a VM starts alone, is told a level of 80 and hears from all but one
    Then it admits 80 units

  # Symptom: a customer at twice its limit gets a tenth less than the limit.
  # Events: two VMs use the whole level at once, and both are then in debt.
  # Cause: the excess that late totals reveal is charged to later calls.
  Scenario: Late totals do not refuse the next calls
    Given 2 VMs that share a limit of 100 a second and a burst of 100, with an overshoot of 400
    When both admit 90 units at the same moment and send their totals
    And they have exchanged totals for 1 seconds more
    Then VM 1 admits 80 units at once

  Scenario: Without a permitted overshoot, late totals refuse the next calls
    Given 2 VMs that share a limit of 100 a second and a burst of 100, with an overshoot of 0
    When both admit 90 units at the same moment and send their totals
    And they have exchanged totals for 1 seconds more
    Then VM 1 does not admit 80 units

  Scenario Outline: The overshoot is bounded, however long the flood
    Given <vms> VMs that share a limit of 100 a second and a burst of 100, with an overshoot of 400
    And they have exchanged totals for 5 seconds
    When all of them are flooded for <seconds> seconds
    Then together they admit at most the limit of that time and a quarter of 400 more

    Examples:
      | vms | seconds |
      | 2   | 8       |
      | 7   | 8       |
      | 7   | 60      |
      | 20  | 30      |

  Scenario: A permitted overshoot brings seven VMs closer to one counter
    Then with an overshoot seven VMs refuse less of what one counter admits
