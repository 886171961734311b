Feature: Essential tasks of a process are restarted

  # Guards against a VM that silently stops following the store, after its task
  # ended with an unexpected error.
  Scenario: A supervised task is restarted with increasing delays
    Given a supervised task that fails 6 times and then continues
    When 10 seconds of the loop pass
    Then it was started 7 times, with increasing delays
    And its restarts are in the log and in the metrics

  Scenario: A watch whose listener fails reads the list again
    Given a watch whose listener fails at the first list
    When 1 seconds of the loop pass
    Then the list was read twice and the watch is connected

  # Guards against every VM listing roll-out orders when a fleet starts, or
  # when its followers briefly lose the store.
  Scenario: A watch without an initial list calls the store only when wanted
    Given a watch without an initial list that is wanted after 3 seconds
    When 2 seconds of the loop pass
    Then the list was not read
    When 4 seconds of the loop pass
    Then the list was read once and the watch is connected

  # Guards against VMs that repeat failing calls at a fixed short interval, or
  # that still wait long after a store that was down has answered.
  Scenario: A watch calls a failing store less and less often
    Given a watch whose store fails 5 times, answers, and fails 3 times more
    When 10 seconds of the loop pass
    Then it waited half to all of 0.1, 0.2, 0.4, 0.8, 0.8 and then 0.1, 0.2, 0.4 s
