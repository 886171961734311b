Feature: Periodic tasks of a process share wake-ups

  Scenario: Tasks with several periods share wake-ups
    When tasks run every 0.05, 0.1, 0.2 and 0.5 s for 10 seconds
    Then each task runs as often as its period says
    And the process is woken at most 205 times

  Scenario: A long step is not followed at once by the next one
    When a task with a period of 0.1 s takes 0.09 s a step for 10 seconds
    Then there are at least 0.05 s between two steps

  # Guards against a VM that silently stops tracking which VMs are alive, as a
  # step fails on a peer's record with a field of an unexpected type.
  Scenario: A periodic task that fails is logged and continues
    When a periodic task fails at its first two steps
    Then it runs a third time, and 2 failures are logged
