Feature: Reloading of the settings while a process runs

  Scenario: Changed seeds are applied once
    Given a process that was started with seeds "a, b"
    When its settings file has seeds "a, c" and is read 2 times
    Then the seeds "a, c" were applied 1 times

  Scenario: An unchanged file changes nothing
    Given a process that was started with seeds "a, b"
    When its settings file has seeds "a, b" and is read 2 times
    Then no seeds were applied

  # Guards against a VM that loses its seeds or ends while operators edit its
  # settings: the file is written in place and read while it is incomplete.
  Scenario: An invalid file changes nothing, and a later valid one is applied
    Given a process that was started with seeds "a, b"
    When its settings file is truncated and is read 1 times
    Then no seeds were applied
    When its settings file has seeds "c" and is read 1 times
    Then the seeds "c" were applied 1 times
