Feature: Comments tell what a line is for, and no story of its tuning

  Scenario: No comment of the product tells of measurements
    Then no comment or docstring has a figure that was measured

  Scenario Outline: What tells of a measurement is found
    Then "<comment>" is found to tell of a measurement

    Examples:
      | comment                                             |
      | On 24 played days 2.9 of 100 came late              |
      | the mean worth was 0.525 with three                 |
      | with 63 VMs they took a sixth of a VM's time         |
      | it takes four tenths off in 10 us                   |
      | with what it loads it takes 5 MB                    |
      | at equal seeds it gained nothing                    |

  Scenario Outline: What explains a line is left alone
    Then "<comment>" is found to tell of none

    Examples:
      | comment                                             |
      | Between two records, in seconds.                    |
      | A member not heard for so long, in seconds.         |
      | The longest body of an answer, 16 MB.               |
      | How fast the measured demand follows the real one.  |
