Feature: Roll-outs beside VMs that are killed and forget what they counted

  # Guards against a bad version that gets its exposure anew after each kill, or
  # takes over as the calls that showed its fault are forgotten.
  Scenario Outline: A bad version stays within its exposure: <fault>, <which>
    When a version with <fault> is rolled out 20 times, and <which> killed every <s> s
    Then it is never completed, and never gets more calls than it may

    Examples:
      | fault              | which       | s   |
      | failures_one_route | all VMs are | 3.0 |
      | failures_one_route | all VMs are | 1.5 |
      | failures           | all VMs are | 1.5 |
      | failures_one_route | one VM is   | 1.0 |
      | failures_one_route | one VM is   | 2.0 |
      | failures_one_route | all VMs are | 7.0 |

  # Guards against a good version that is taken back for a single kill.
  Scenario: A good version is moved to, though all VMs were killed once
    When a version with none is rolled out 10 times, and all VMs are killed once after 5 s
    Then it is completed at least 9 times

  # Guards against a division by zero that stops the comparison of versions.
  Scenario: Counts of which a VM took its part never show failures without ends
    Given counts of 10 calls, 8 of them ended, 1 failed
    When a VM with 2 failed calls is added as one with 2 sound ones ends
    Then the difference of both counts has no more failures than ends
