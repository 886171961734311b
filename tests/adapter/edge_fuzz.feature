Feature: What enters from outside can leave again

  # Guards against text that the edge lets in and the inside can't sort, hash,
  # log, send to other VMs or put into a head.
  Scenario: Any entries go through all that uses them
    When the store's list holds a sound entry beside any spoiled ones
    Then the sound runner is known, and all that tells of runners can be written

  Scenario: Any configuration goes through all that uses it, or is refused
    When the store holds any spoiled configuration
    Then it is refused, or all that tells of it can be written
