Feature: Counts for usage reports

  Scenario: Counts of all VMs are added up
    Given two VMs that count for windows of 5 seconds
    When each counts 3 calls of a customer and they exchange counts
    Then both give a total of 6 for that window

  # Symptom: a customer is billed twice for a window.
  # Events: a record of a VM's counts arrives twice, or an old one after a new.
  # Cause: counts are added up instead of replaced.
  Scenario: Counts that arrive twice or late change nothing
    Given two VMs that count for windows of 5 seconds
    When one sends 2, then 5, then 2 again
    Then the other gives a total of 5 for that window

  Scenario: A restarted VM's counts are kept beside its new ones
    Given two VMs that count for windows of 5 seconds
    When one sends 4 as its first process and 2 as its second
    Then the other gives a total of 6 for that window

  Scenario: Old windows are forgotten
    Given two VMs that count for windows of 5 seconds
    When one counts a call in each of 50 windows
    Then it keeps 8 of them

  Scenario: Reported windows are not sent any more
    Given two VMs that count for windows of 5 seconds
    When one counts a call in each of 6 windows
    Then it sends the 2 windows after the fourth
