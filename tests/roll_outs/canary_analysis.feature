Feature: Comparison of a new version with the old one

  Scenario: A version that fails one call in four is detected with few calls
    Given 400 calls at the old version, 1 percent of them failing
    When the new version fails 9 of 36 calls, evenly at 3 runners
    Then it is bad because of its failures

  # Guards against rolling back a good version for one faulty runner.
  Scenario: One faulty runner does not fail its version
    Given 400 calls at the old version, 1 percent of them failing
    When the new version fails 9 of 36 calls, all at one of 3 runners
    Then it is not bad

  Scenario: Both versions of a service have a high failure rate
    Given 400 calls at the old version, 14 percent of them failing
    When the new version fails 6 of 36 calls, evenly at 3 runners
    Then it is not bad

  # Guards against a fault on a rare route that healthy routes mask.
  Scenario: The new version fails on only one route
    Given 400 calls at the old version, 1 percent of them failing
    When the new version fails 8 of 12 calls on route rare
    And the new version fails 0 of 200 calls on route usual
    Then on route rare it is bad because of its failures

  Scenario Outline: The answers of the new version take longer
    Given 60 calls at the old version, of about 0.2 seconds each
    When 30 calls at the new version take about <took> seconds each
    Then it is <verdict>

    Examples:
      | took | verdict                          |
      | 0.21 | not bad                          |
      | 0.28 | not bad                          |
      | 0.6  | bad because of its first answers |

  # Guards against a rollback when a burst slows down both versions.
  Scenario: Both versions are slow at the same time
    Given 60 calls at the old version, of about 0.8 seconds each
    When 30 calls at the new version take about 0.9 seconds each
    Then it is not bad

  # Guards against rolling back a good version that got more calls on a route
  # with a high failure rate at all versions.
  Scenario: The route mix alone does not fail a version
    Given 400 calls at the old version, 1 percent of them failing
    And 60 calls on route failing at the old version, 9 of them failing
    When the new version fails 0 of 50 calls on route usual
    And the new version fails 8 of 50 calls on route failing
    Then it is not bad

  Scenario: Samples of many VMs can be added in any order
    Then sums of samples don't depend on order or grouping
