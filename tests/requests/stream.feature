Feature: One stream from several attempts

  Scenario: Each token goes out once and in order
    Then the cursor passes each token once, in order, from any attempts

  Scenario: Passing on whatever arrives repeats tokens
    Symptom: a caller reads words twice.
    Events: an attempt is replaced while its last tokens are on the way.
    Cause: the old connection's tokens are passed on as well.

    Then passing on what arrives repeats a token in some sequence

  Scenario: A token left out is noticed
    Given a stream cursor at token 3 of attempt 1
    When attempt 1 offers token 5
    Then the cursor reports a gap and still waits for token 3

  Scenario: An old attempt is not listened to
    Given a stream cursor at token 3 of attempt 1
    When attempt 2 begins at the cursor
    And attempt 1 offers token 3
    Then the cursor reports a stale token and still waits for token 3
