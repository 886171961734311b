Feature: Many streams are read on one thread

  Scenario: A stream whose bytes wait unread is not silent
    Symptom: streams of a busy entry VM are resumed, one after the other.
    Events: the loop is held up for longer than a stream may be silent;
    the runner has gone on sending.
    Cause: the loop's own delay is taken for the runner's silence.
    Given a stream loop with a patience of 0.3 s
    When the runner sends, and the loop is held up for 0.6 s
    Then the loop's stream goes on

  Scenario: A stream without bytes is silent
    Given a stream loop with a patience of 0.3 s
    When the runner sends nothing
    Then the loop's stream ends as silent
