Feature: All VMs come to believe in the runners that the store lists

  Runners start, say that they leave, end, lapse and are written again; VMs read
  the store now and then, some not at all for seconds, and tell each other.

  Scenario Outline: Whatever the order of the news, nobody is left out
    Given 5 VMs' directories and a store with 12 runners
    When 20 seconds of random news pass, from seed <first> to <last>
    Then 4 seconds later each VM's runners are those of the store

    Examples:
      | first | last |
      | 1     | 40   |
      | 41    | 80   |
