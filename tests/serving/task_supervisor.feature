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

  # Guards against a periodic task that one error stops, against errors that
  # nobody sees, and against a log full of one error.
  Scenario: A periodic task goes on after an error in each of its rounds
    Given a periodic task that fails each time
    When 10 seconds of the loop pass
    Then it ran at least 50 times
    And its failures are counted, and at most 2 lines of the log tell them

  # Guards against a step that keeps all later ones from being taken.
  Scenario: The steps after one that fails are taken
    Given steps of which the second fails
    When 1 seconds of the loop pass
    Then all steps were taken

  # Guards against a process that doesn't end on SIGTERM as one step of its
  # shutdown fails, and is killed with its streams.
  Scenario Outline: A VM ends in its time whatever step of its shutdown fails
    Given a VM of which <what> fails
    When it gets the signal to stop
    Then it ends within 4 seconds and tells of the failure

    Examples:
      | what                    |
      | the handover of streams |
      | the release of the lease |
      | the last status record  |
      | the check for open calls |

  # Guards against a VM that goes by two versions of the configuration for good,
  # as one component fails to take the new one.
  Scenario: A configuration reaches the components after one that fails
    Given a VM of which the refresh of its runners fails once
    When it gets a configuration
    Then all components have the configuration after 1 seconds
