Feature: Writing log lines never blocks the process

  # Guards against all calls hanging for minutes: the reader of standard output
  # stops, the pipe fills, and a blocking write waits for the reader.
  Scenario: A reader that stops reading
    Given a log writer whose reader does not read
    When 50 lines are logged in each of 100 seconds
    Then no write has blocked, and at most 1100000 bytes are buffered
    And a reader that reads again finds the number of dropped lines

  Scenario: A flood of one event leaves room for other events
    Given a log writer whose reader reads all lines
    When 5000 lines of one event and one of another are logged in a second
    Then the reader gets 100 lines of the one event and 1 of the other
    And a line in the next second says that 4900 are missing
