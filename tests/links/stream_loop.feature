Feature: Many streams are read on one thread

  Scenario: A stream with unread bytes is not timed out
    If the loop is held up for longer than the idle timeout while the runner
    goes on sending, the loop's own delay must not count as idle time of the
    stream. Otherwise a busy entry VM resumes one stream after the other.
    Given a stream loop with an idle timeout of 0.3 s
    When the runner sends, and the loop is held up for 0.6 s
    Then the loop's stream is read to its end

  Scenario: A stream without bytes times out
    Given a stream loop with an idle timeout of 0.3 s
    When the runner sends nothing
    Then the loop's stream ends with a timeout
