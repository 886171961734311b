Feature: Failures that a VM may report to the others

  Scenario: A failure without an answer counts once another runner was heard
    Given a VM that counts its failed calls
    When a call to r1 gets no answer
    Then 0 failures of r1 are reported
    When another runner is heard 0.2 seconds later
    Then 1 failures of r1 are reported

  Scenario: An error counts at once
    Given a VM that counts its failed calls
    When r1 answers a call with an error
    Then 1 failures of r1 are reported

  # Guards against sound runners that all VMs avoid, because two VMs lost their
  # paths to the runners and counted failures there.
  Scenario: Failures of a VM that reaches no runner are never reported
    Given a VM that counts its failed calls
    When 5 calls to r1 get no answer, one each 0.2 seconds
    And the VM finds that it reaches no runner
    And another runner is heard 0.2 seconds later
    Then 0 failures of r1 are reported
    And 5 failures were dropped

  # Guards against the same by a cut that ends before it is noticed.
  Scenario: A failure for which nothing vouches in time is dropped
    Given a VM that counts its failed calls
    When a call to r1 gets no answer
    And another runner is heard 3.5 seconds later
    Then 0 failures of r1 are reported
    And 1 failures were dropped

  # Guards against reports of a VM whose open connections live on while new ones
  # are refused.
  Scenario: A VM that suspects its own paths reports no failure
    Given a VM that counts its failed calls
    When a call to r1 gets no answer
    And the VM suspects that it lost its runners
    And another runner is heard 0.2 seconds later
    Then 0 failures of r1 are reported
    When the VM is connected again
    Then 1 failures of r1 are reported
