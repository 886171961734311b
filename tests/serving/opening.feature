Feature: Callers who come while a process starts wait for it

  # Symptom: after all VMs lost power, callers fail with their last try although
  # a VM is back a quarter of a second later.
  # Events: a VM starts; callers connect while it loads its modules.
  # Cause: the port listens only when everything is loaded.
  Scenario: A call that comes before its server has started is answered
    Given a port that listens before its server has started
    When a caller sends a call, and the server starts then
    Then the caller has its answer

  # Symptom: calls are refused for want of a configuration that is there three
  # milliseconds later.
  # Cause: connections are taken before there is an answer for them.
  Scenario: A call that comes before the configuration waits for it
    Given a port that listens before its server has started
    When a caller sends a call, and the VM is informed then
    Then the call was not read before
    And the caller has its answer

  Scenario: A VM that is told nothing answers all the same
    Given a port that listens before its server has started
    When a caller sends a call, and the VM is not informed in time
    Then the caller has its answer
