Feature: Tasks and their messages

  Scenario: The return value of a handler is the result of the future
    Given a task that doubles numbers
    When the task is asked to double 21
    Then the answer is 42

  Scenario: A message to a stopped task fails
    Given a task that doubles numbers
    When the task is stopped
    Then asking it to double 21 raises an error that names the task
