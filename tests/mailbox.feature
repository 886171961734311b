Feature: Tasks and their mailboxes

  Scenario: A handler's answer settles the future
    Given a task that doubles numbers
    When the task is asked to double 21
    Then the answer is 42

  Scenario: A message posted after the end is refused
    Given a task that doubles numbers
    When the task is stopped
    Then asking it to double 21 raises an error that names the task
