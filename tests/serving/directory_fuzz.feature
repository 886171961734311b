Feature: All VMs come to believe in the runners that the store lists

  Runners start, say that they leave, end, lapse and are written again; VMs read
  the store now and then, some not at all for seconds, and tell each other.

  # Symptom: prompts go to a runner for a cache that it has lost, and calls
  # count as waiting there that it knows nothing of.
  # Events: runners start again under their names, some twice in a moment, in
  # the midst of drains, lapses and removals; the last heartbeat of the process
  # before is carried out after the first one of the next.
  # Cause: a runner taken for the same one as long as its name is.
  Scenario Outline: Runners that start again under their names are others
    Given 5 VMs' directories and a store with 12 runners
    When 20 seconds of news with restarts pass, from seed <first> to <last>, read by name and start
    Then no VM keeps anything of an incarnation before
    And 4 seconds later each VM's runners are those of the store

    Examples:
      | first | last |
      | 1     | 40   |
      | 41    | 80   |

  Scenario: Read by name alone, some are taken for those before
    Given 5 VMs' directories and a store with 12 runners
    When 20 seconds of news with restarts pass, from seed 1 to 3, read by name alone
    Then some VM keeps something of an incarnation before

  Scenario Outline: Whatever the order of the news, nobody is left out
    Given 5 VMs' directories and a store with 12 runners
    When 20 seconds of random news pass, from seed <first> to <last>
    Then 4 seconds later each VM's runners are those of the store

    Examples:
      | first | last |
      | 1     | 40   |
      | 41    | 80   |
