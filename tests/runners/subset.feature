Feature: Subsets of very many runners

  Scenario: Each runner is kept by the same number of VMs
    Given the subsets of 60 VMs over 200 runners, of size 20
    Then each runner is in 6 subsets
    And the subsets have between 8 and 36 runners

  Scenario: A small fleet keeps all
    Given the subsets of 7 VMs over 9 runners, of size 20
    Then each runner is in 7 subsets

  Scenario: Changes are followed as if worked out anew
    Then a subset after any changes equals one made from scratch

  Scenario: A VM goes
    Symptom: caches and connections everywhere are cold after one VM left.
    Events: one of 60 VMs goes.
    Cause: the subsets are cut anew from a list that became shorter.
    Given the subsets of 60 VMs over 200 runners, of size 20
    When one VM of the subsets goes
    Then at most 2 of 100 pairs of VM and runner changed
    But with subsets by position more than 50 of 100 pairs changed
