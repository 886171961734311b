Feature: The object API stand-in

  Scenario: Conditional updates let one of many racing writers win
    Given an object API stand-in with an object
    When 12 writers update the object at once on its first version
    Then 1 writer has won and the object API holds its value

  Scenario: Unconditional updates let every racing writer win
    Symptom: a writer was told that its value is stored, and it is gone.
    Events: two writers read one version; each writes; the later one wins.
    Cause: the update was not conditional.
    Given an object API stand-in with an object
    When 12 writers update the object at once without a condition
    Then 12 writers have won and the object API holds just one value

  Scenario: Create-only claims are granted once
    Given an object API stand-in with an object
    When 12 writers claim a name at once
    Then 1 writer has won and the object API holds its claim

  Scenario: An answer is lost after the write has taken effect
    Symptom: the writer sees a broken connection.
    Events: the store writes the value, then closes without an answer.
    Cause: the lose_answer fault for one call.
    Given an object API stand-in with an object
    When the answer to an update is lost
    Then the object API holds the update whose answer was lost
    And the next update gets an answer

  Scenario: A lost request changes nothing
    Given an object API stand-in with an object
    When an update is lost before it reaches the store
    Then the object API holds the first value

  Scenario: A write wakes a watch and counts as a waiting call until then
    Given an object API stand-in with an object
    When a watch waits for objects under the prefix
    Then the object API counts 1 waiting watch
    And a write under another prefix leaves it waiting
    And a write under the prefix wakes it with the value

  Scenario: A deletion is an event without a value
    Given an object API stand-in with an object
    When the object is deleted from the object API
    Then a watch from its first version gets a null value

  Scenario: A compacted revision is gone
    Given an object API stand-in with an object
    When the object is updated and its events are compacted
    Then a watch from its first version is told that it is gone

  Scenario: Down means no connection or 503, also for a waiting watch
    Given an object API stand-in with an object
    When a watch waits for objects under the prefix
    And the object API goes down
    Then the waiting watch is answered with 503
    And while it refuses connections none comes about, and later one does

  Scenario: Calls over the rate and values over a megabyte are refused
    Given an object API stand-in with an object
    Then a value over a megabyte is answered with 413
    And over a rate of 5 calls a second some of 30 are answered with 429
