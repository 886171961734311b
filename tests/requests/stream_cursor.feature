Feature: One stream merged from several attempts

  Scenario: Each token is sent once and in order
    Then the cursor accepts each token once and in order, from any attempt

  Scenario: Sending every token that arrives repeats tokens
    Guards against callers that receive words twice. An attempt is replaced
    while its last tokens are in transit, and the tokens of the old connection
    are sent to the caller as well.

    Then sending every token that arrives repeats one in some sequence

  Scenario: A skipped token is reported as a gap
    Given a stream cursor at token 3 of attempt 1
    When attempt 1 offers token 5
    Then the cursor reports a gap and still waits for token 3

  Scenario: A token of an old attempt is reported as stale
    Given a stream cursor at token 3 of attempt 1
    When attempt 2 starts at the cursor
    And attempt 1 offers token 3
    Then the cursor reports a stale token and still waits for token 3
