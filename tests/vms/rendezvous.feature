Feature: Rendezvous hashing

  Scenario: A lost name moves only its own keys
    Then removing any name moves just the keys that it had won

  Scenario: Order and doubles of the names do not matter
    Then rendezvous ranks depend on the set of names only
