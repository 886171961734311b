Feature: Settings read again while a process runs

  Scenario: Other seeds are taken over, once
    Given a process that was started with seeds "a, b"
    When its file says seeds "a, c" and is read 2 times
    Then it took over "a, c" 1 times

  Scenario: A file that says the same changes nothing
    Given a process that was started with seeds "a, b"
    When its file says seeds "a, b" and is read 2 times
    Then it took over nothing

  # Symptom: a VM forgets its seeds, or ends, while operators edit its settings.
  # Events: the file is written in place and read when half of it is there.
  # Cause: a file taken for whole because it was for its first reading.
  Scenario: An invalid file changes nothing, and a whole one later does
    Given a process that was started with seeds "a, b"
    When its file is cut short and is read 1 times
    Then it took over nothing
    When its file says seeds "c" and is read 1 times
    Then it took over "c" 1 times
