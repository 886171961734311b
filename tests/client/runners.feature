Feature: The command runners

  # Guards against a table that counts the calls of one VM only, or shows the
  # estimate of a VM that has just started.
  Scenario: The runners of several VMs
    Given metrics of two VMs, of which the second has just started
    Then the row of runner-1 has the first VM's speed and both VMs' calls
    And runner-2, which only has calls, is shown at speed 1.0

  Scenario: A VM that does not answer
    Given a VM whose metrics can be read and one that is gone
    Then the command prints the runners and names the missing VM
    And without the first VM it exits with the code of an unreachable VM
