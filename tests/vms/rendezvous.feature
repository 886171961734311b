Feature: Rendezvous hashing

  Scenario: Removing a name moves only the keys assigned to it
    Then removing any name moves only the keys assigned to that name

  Scenario: Order and duplicates of the names do not matter
    Then rendezvous ranks depend only on the set of names
