Feature: A task that a process can't do without goes on

  # Symptom: a VM follows the store no more, and nothing says so.
  # Events: the task that follows it meets an error that it does not expect.
  # Cause: a task that fails ends for good.
  Scenario: A supervised task starts again, ever later
    Given a supervised task that fails 6 times and then goes on
    When 10 seconds of the loop pass
    Then it was started 7 times, with pauses that grow
    And its ends are in the log and in the metrics

  Scenario: A watch whose listener fails reads the list anew
    Given a watch whose listener fails at the first list
    When 1 seconds of the loop pass
    Then the list was read twice and the watch is in touch

  # Guards against every VM listing roll-out orders when a fleet starts, or
  # when its followers briefly lose the store.
  Scenario: A watch without an initial list calls the store only when wanted
    Given a watch without an initial list that is wanted after 3 seconds
    When 2 seconds of the loop pass
    Then the list was not read
    When 4 seconds of the loop pass
    Then the list was read once and the watch is in touch
