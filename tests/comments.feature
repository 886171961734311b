Feature: Comments explain the code and report no measurements

  Scenario: No comment in the product reports a measurement
    Then no comment or docstring reports a measurement

  Scenario Outline: Comments that report a measurement are detected
    Then "<comment>" is detected as a report of a measurement

    Examples:
      | comment                                             |
      | On 24 played days 2.9 of 100 came late              |
      | the mean worth was 0.525 with three                 |
      | with 63 VMs they took a sixth of a VM's time         |
      | it takes four tenths off in 10 us                   |
      | with what it loads it takes 5 MB                    |
      | at equal seeds it gained nothing                    |

  Scenario Outline: Comments that explain the code are accepted
    Then "<comment>" is not detected as a report of a measurement

    Examples:
      | comment                                             |
      | Between two records, in seconds.                    |
      | A member not heard for so long, in seconds.         |
      | The longest body of an answer, 16 MB.               |
      | How fast the measured demand follows the real one.  |
