Feature: Soak test of calls with a prompt part that crashes runners

  Scenario: A short soak with bad prompt parts violates no guarantee
    When a soak test with seed 1 injects faults and bad prompt parts for 5.0 s
    Then it made over 100 calls and violated no guarantee

  Scenario: The plan of bad prompt parts depends only on the seed
    Then the plans of bad parts of seed 7 are equal and that of seed 8 differs

  Scenario Outline: The checks detect a part that goes on crashing runners
    Given a soak in which <crashes> runners crashed under a bad part, one a second
    And <calls> calls with the part reached runners <after> s after the <nth> crash
    And their VM <state>
    Then the checks of parts report "<complaint>"

    Examples:
      | crashes | calls | after | nth | state                  | complaint            |
      | 6       | 4     | 3.1   | 5th | was in touch           | 4 calls with bad0    |
      | 6       | 3     | 3.1   | 5th | was in touch           | nothing              |
      | 6       | 4     | 2.9   | 5th | was in touch           | nothing              |
      | 4       | 9     | 9.0   | 4th | was in touch           | nothing              |
      | 6       | 4     | 3.1   | 5th | was cut off before     | nothing              |
      | 6       | 4     | 3.1   | 5th | was restarted before   | nothing              |

  Scenario Outline: The checks detect sound calls that are lost beside a bad part
    Given a soak in which <crashes> runners crashed under a bad part, one a second
    And <begun> of <during> sound calls began from <after> s after the <nth> crash on
    And <others> of 20 sound calls had begun before
    Then the checks of parts report "<complaint>"

    Examples:
      | crashes | begun | during | after | nth | others | complaint             |
      | 5       | 9     | 20     | 6.1   | 5th | 20     | 0.45 of 20 sound      |
      | 5       | 10    | 20     | 6.1   | 5th | 20     | nothing               |
      | 2       | 9     | 20     | 6.1   | 2nd | 20     | 0.45 of 20 sound      |
      | 5       | 9     | 20     | 6.1   | 5th | 18     | nothing               |
      | 5       | 9     | 19     | 6.1   | 5th | 20     | nothing               |
      | 5       | 0     | 20     | 5.0   | 5th | 20     | nothing               |
