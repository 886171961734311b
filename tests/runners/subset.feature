Feature: Subsets of a large pool's runners

  Scenario: Each runner is assigned to the same number of VMs
    Given the subsets of 60 VMs over 200 runners, of size 20
    Then each runner is in 6 subsets
    And the subsets have between 8 and 36 runners

  Scenario: All runners of a small pool are assigned to all VMs
    Given the subsets of 7 VMs over 9 runners, of size 20
    Then each runner is in 7 subsets

  Scenario: Incremental changes give the same result as a new computation
    Then a subset after any changes equals a newly computed one

  Scenario: A VM leaves
    Guards against cold caches and connections at all VMs after one of 60
    VMs leaves. Subsets by position in the list of VMs would all shift.
    Given the subsets of 60 VMs over 200 runners, of size 20
    When one of the VMs leaves
    Then at most 2 of 100 pairs of VM and runner changed
    But with subsets by position more than 50 of 100 pairs changed
