Feature: Memory of fragile runners

  # Guards against a fall that counts as the fault of its calls, as the runner's
  # word goes together with its list entry, before the fall is noticed.
  Scenario Outline: A runner stays known as fragile for some seconds
    Given the memory of a runner that is fragile and gets a call
    When it <stays> fragile for 20 seconds
    And it is not for <seconds> seconds
    Then it <counts> as fragile

    Examples:
      | stays    | seconds | counts         |
      | is still | 0.0     | counts         |
      | is still | 5.9     | counts         |
      | is still | 6.1     | does not count |
      | is not   | 0.0     | does not count |

  Scenario: A runner that says nothing is not fragile
    Given the memory of a runner that says nothing and gets a call
    Then it does not count as fragile
