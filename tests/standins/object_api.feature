Feature: The object API stand-in

  Scenario: Only one of many concurrent conditional updates succeeds
    Given an object API stand-in with an object
    When 12 writers update the object concurrently on its first version
    Then 1 writer has succeeded and the object API stores its value

  Scenario: All concurrent unconditional updates succeed
    Writers that read the same version and update it without a condition
    overwrite each other. A writer's value is lost although its update was
    reported as stored.
    Given an object API stand-in with an object
    When 12 writers update the object concurrently without a condition
    Then 12 writers have succeeded and the object API stores one value

  Scenario: Only one of many concurrent creations of an object succeeds
    Given an object API stand-in with an object
    When 12 writers create the same claim concurrently
    Then 1 writer has succeeded and the object API stores its claim

  Scenario: A write takes effect although its response is lost
    The lose_answer fault makes the object API store the value and then close
    the connection without a response.
    Given an object API stand-in with an object
    When the response to an update is lost
    Then the object API stores the update whose response was lost
    And the next update gets a response

  Scenario: A lost request changes nothing
    Given an object API stand-in with an object
    When an update is lost before the object API handles it
    Then the object API stores the first value

  Scenario: A watch waits until an object under its prefix is written
    Given an object API stand-in with an object
    When a watch waits for changes under the prefix
    Then the object API counts 1 waiting watch
    And a write under another prefix leaves the watch waiting
    And a write under the prefix ends the watch with the new value

  Scenario: A watch reports a deletion as an event without a value
    Given an object API stand-in with an object
    When the object is deleted from the object API
    Then a watch from the object's first version gets a null value

  Scenario: A watch from a compacted revision is refused
    Given an object API stand-in with an object
    When the object is updated and its events are compacted
    Then a watch from the object's first version is answered with 410

  Scenario: An outage gives status 503 or refused connections
    Given an object API stand-in with an object
    When a watch waits for changes under the prefix
    And the object API goes down
    Then the waiting watch is answered with 503
    And connections fail while the object API refuses them, not afterwards

  Scenario: Calls above the rate limit and large values are refused
    Given an object API stand-in with an object
    Then a value over a megabyte is answered with 413
    And at a limit of 5 calls per second some of 30 are answered with 429
