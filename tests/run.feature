Feature: What the test run counts

  Scenario Outline: Only a scenario that is known to fail is passed over
    Given a feature whose process printed <output>
    Then it counts <passed> passed, <failed> failed and <known> known red

    Examples:
      | output                 | passed | failed | known |
      | all passed             | 5      | 0      | 0     |
      | a known one failed     | 4      | 0      | 1     |
      | another one failed     | 4      | 1      | 0     |
      | a known and another    | 3      | 1      | 1     |
      | nothing that counts    | 0      | 1      | 0     |

  Scenario: A failed scenario is named as KNOWN-RED.txt names it
    When a feature with a failing scenario is run
    Then its name and line are printed

  Scenario: What failed is said once more at the end
    Symptom: CI failed, and its log does not say which scenario it was.
    Events: of a long log only the beginning and the end are kept.
    Cause: the failed feature's output stood in the middle.
    Given a feature whose process printed another one failed
    Then the end of the run names "tests/somewhere.feature:3" and its cause
    Given a feature whose process printed all passed
    Then the end of the run says nothing of it
