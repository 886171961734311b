Feature: Counts for usage reports

  Scenario: Counts of all VMs are added up
    Given two VMs that count for windows of 5 seconds
    When each counts 3 calls of a customer and they tell each other
    Then both give a total of 6 for that window

  # Symptom: a customer is billed twice for a window.
  # Events: a record of a VM's counts comes twice, or an old one after a new.
  # Cause: counts added up instead of replaced.
  Scenario: News that comes twice or late changes nothing
    Given two VMs that count for windows of 5 seconds
    When one tells 2, then 5, then 2 again
    Then the other gives a total of 5 for that window

  Scenario: A restarted VM's counts are kept beside its new ones
    Given two VMs that count for windows of 5 seconds
    When one tells 4 as its first process and 2 as its second
    Then the other gives a total of 6 for that window

  Scenario: Old windows are forgotten
    Given two VMs that count for windows of 5 seconds
    When one counts a call in each of 50 windows
    Then it keeps 8 of them

  Scenario: Reported windows need not be told any more
    Given two VMs that count for windows of 5 seconds
    When one counts a call in each of 6 windows
    Then it tells 2 of them above the fourth
