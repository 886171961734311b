Feature: All VMs converge to the runners that the store lists

  Runners start, announce that they are leaving, and end; their entries expire
  and are written again. VMs read the store at random times, some not at all
  for seconds, and send each other changes.

  # Guards against prompts sent to a runner for a cache that it lost at its
  # restart, and calls counted at it that it does not know. A runner must not
  # be identified by name alone: heartbeats of its previous process come late.
  Scenario Outline: Restarted runners count as new incarnations
    Given 5 VMs' directories and a store with 12 runners
    When 20 seconds of changes with restarts pass, from seed <first> to <last>, read by name and start
    Then no VM keeps state of a previous incarnation
    And 4 seconds later each VM's runners are those of the store

    Examples:
      | first | last |
      | 1     | 40   |
      | 41    | 80   |

  Scenario: Identified by name alone, restarted runners keep outdated state
    Given 5 VMs' directories and a store with 12 runners
    When 20 seconds of changes with restarts pass, from seed 1 to 3, read by name alone
    Then some VM keeps state of a previous incarnation

  Scenario Outline: All VMs converge whatever the order of the changes
    Given 5 VMs' directories and a store with 12 runners
    When 20 seconds of random changes pass, from seed <first> to <last>
    Then 4 seconds later each VM's runners are those of the store

    Examples:
      | first | last |
      | 1     | 40   |
      | 41    | 80   |
