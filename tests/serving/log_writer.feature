Feature: Log lines never hold the process up

  # Symptom: all calls stand still for minutes.
  # Events: the reader of standard output stops; the pipe fills.
  # Cause: a write that waits for its reader.
  Scenario: A reader that stops
    Given a log writer whose reader reads nothing
    When 100 seconds of 50 lines each are logged
    Then no write has waited, and at most 1100000 bytes are held
    And when the reader reads again it is told how many lines are missing

  Scenario: A flood of one event leaves room for the others
    Given a log writer whose reader reads all
    When 5000 lines of one event and one of another are logged in a second
    Then the reader has 100 lines of the one, 1 of the other
    And the next second tells that 4900 are missing
