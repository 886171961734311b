Feature: Repeated work of a process wakes it together

  Scenario: Work of several paces shares its wake-ups
    When work is repeated each 0.05, 0.1, 0.2 and 0.5 s for 10 seconds
    Then each is done as often as its pace says
    And the process is woken at most 205 times

  Scenario: A step that takes long is not followed at once by the next
    When work each 0.1 s takes 0.09 s a step for 10 seconds
    Then there are at least 0.05 s between two steps

  # Symptom: a VM stops looking at who is alive, without a word.
  # Events: a peer's record has a field of another form; a step fails on it.
  Scenario: Work that fails is logged and goes on
    When repeated work fails at its first two steps
    Then it is done a third time, and 2 failures are logged
