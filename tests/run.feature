Feature: The test runner counts failures

  Scenario Outline: Only a scenario that is known to fail doesn't fail the run
    Given the output of a feature with <output>
    Then the result counts <passed> passed, <failed> failed and <known> known failures

    Examples:
      | output                    | passed | failed | known |
      | no failure                | 5      | 0      | 0     |
      | a known failure           | 4      | 0      | 1     |
      | a new failure             | 4      | 1      | 0     |
      | a known and a new failure | 3      | 1      | 1     |
      | no totals                 | 0      | 1      | 0     |

  Scenario: A failed scenario is printed as KNOWN-RED.txt lists it
    When a feature with a failing scenario is run
    Then the scenario's file and line are printed

  Scenario: Failures are repeated at the end of the run
    Symptom: CI fails and its log does not name the failed scenario.
    Events: CI keeps only the beginning and the end of a long log.
    Cause: the failed feature's output is in the middle of the log.
    Given the output of a feature with a new failure
    Then the failure summary names the cause and "tests/somewhere.feature:3"
    Given the output of a feature with no failure
    Then the failure summary is empty
