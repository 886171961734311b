Feature: Fragile runners of a soak test

  Scenario Outline: The checks count falls that VMs in touch cause
    Given a service of <count> runners, one of which was fragile
    And a VM, who <was>
    When the runner falls <falls> times, <share> of what it rejects being hers
    Then the checks of fragile runners report "<complaint>"

    Examples:
      | count | was                          | falls | share | complaint                |
      | 3     | was told                     | 2     | all   | nothing                  |
      | 3     | was told                     | 3     | all   | 3 falls of fragile       |
      | 3     | was told                     | 3     | most  | 3 falls of fragile       |
      | 3     | was told                     | 3     | half  | nothing                  |
      | 10    | was told                     | 3     | all   | nothing                  |
      | 10    | was told                     | 4     | all   | 4 falls of fragile       |
      | 3     | was not told                 | 3     | all   | nothing                  |
      | 3     | was told just now            | 3     | all   | nothing                  |
      | 3     | was cut off                  | 3     | all   | nothing                  |
      | 3     | was cut off and told again   | 3     | all   | 3 falls of fragile       |
      | 3     | was told before a restart    | 3     | all   | nothing                  |
      | 3     | was told, and the runner hung | 3    | all   | nothing                  |

  Scenario Outline: The checks detect a fall that counts as a crash by calls
    Given a service of 3 runners, one of which was fragile
    And a VM, who <was>
    When the runner falls 1 times, all of what it rejects being hers
    And she counts a crash of it <at> s later
    Then the checks of fragile runners report "<complaint>"

    Examples:
      | was              | at  | complaint                   |
      | was told         | 0.3 | took falls for crashes      |
      | was told         | 2.5 | nothing                     |
      | was not told     | 0.3 | nothing                     |
      | was cut off      | 0.3 | nothing                     |

  Scenario: A crash that a VM counts is read from its log
    Given a VM's log with the crash of a runner
    Then that crash is read

  Scenario: A fragile runner keeps its room for 3 s from when it is first told
    Given a fragile runner that stands 3 rejections a second, told at 2 s
    Then its room is 24 at 4.9 s and 2 at 5.1 s, with 5 running calls

  Scenario: A fragile runner falls over by one rejection more in a second
    Given a fragile runner that stands 3 rejections a second, told at 2 s
    Then it stands rejections at 5.0, 5.1, 5.2 and 6.05 s
    And it doesn't stand one at 6.08 s

  # Guards against a plan that changes with what else a soak does.
  Scenario: The plan of fragile times depends only on the seed
    Then the plans of fragile times of seed 7 are equal and that of 8 differs

  Scenario: A runner that falls over loses its connections and gets up
    Given a soak runner that is fragile and stands 0 rejections a second
    When a call is sent to it and another one beside it
    Then both connections end and new ones are refused
    And 2 s later it takes connections again
