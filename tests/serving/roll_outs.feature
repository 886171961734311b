Feature: Roll-outs in call routing and in the store

  Scenario: The status of a roll-out is written to the store
    Given the holder of the duties knows an order of 20 seconds
    When the holder has written what is due
    Then the order's status is in_progress
    When the new version takes over
    Then the order's status is completed

  Scenario: A bad version is reported as rolled back
    Given the holder of the duties knows an order of 20 seconds
    When the new version is found bad
    Then the order's status is rolled_back
    And the store was called at most 6 times

  # Guards against a missing result after a failed write.
  Scenario Outline: The store fails while a result is written
    Given the holder of the duties knows an order of 20 seconds
    And the store <fails> the next 2 calls
    When the new version is found bad
    Then the order's status is rolled_back

    Examples:
      | fails                   |
      | refuses                 |
      | loses the answers of    |
      | does not do and answers |

  # Guards against a paused holder that resumes and overwrites the result of
  # its successor.
  Scenario: A former holder does not overwrite the result
    Given the holder of the duties knows an order of 20 seconds
    And another holder has written the status completed
    When the new version is found bad
    Then the order's status is completed
    And the holder knows that it is completed

  # Guards against writing the result of one order to the next one.
  Scenario: The order was replaced in the meantime
    Given the holder of the duties knows an order of 20 seconds
    And the store has an order for another version
    When the new version is found bad
    Then the other version has status in_progress
    And the holder knows the other version

  Scenario: An order deleted from the store is withdrawn
    Given the holder of the duties knows an order of 20 seconds
    And the order is deleted from the store
    When the new version is found bad
    Then the holder knows that it is withdrawn

  # Guards against a schedule that restarts after all processes ended.
  Scenario: A new holder restores the start time
    Given the holder of the duties knows an order of 20 seconds
    When the holder has written what is due
    And 15 seconds later all processes have ended and started again
    Then 15 seconds of the roll-out have passed for the new holder

  Scenario: Only the holder of the duties writes
    Given a VM without the duties knows an order of 20 seconds
    When the new version is found bad
    Then the order's status is nothing

  Scenario Outline: Invalid orders are rejected
    When an order <form> is read from the store
    Then no roll-out is known

    Examples:
      | form                         |
      | without a version            |
      | without a time limit         |
      | that is a list               |
      | with a negative time limit   |
      | under another service's name |

  # Guards against calls to a new version beyond its share, and after it has
  # failed.
  Scenario: Calls go to the version chosen for them
    Given runners of versions v1 and v2 and an order to move to v2
    When 300 calls choose a runner
    Then 5 to 80 of them are at v2
    When v2 is found bad
    And 300 calls choose a runner
    Then 0 to 0 of them are at v2
    When all runners of v1 are gone
    And 3 calls choose a runner
    Then no runner is found

  # Guards against releasing old runners in favour of unproven new ones.
  Scenario: Canaries don't count towards the fleet size
    Given runners of versions v1 and v2 and an order to move to v2
    Then 2 runners count for the size of the fleet
