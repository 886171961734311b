Feature: The load tool's own arithmetic

  Scenario: The same seed gives the same requests at the same times
    When a load workload is drawn twice for 30 s at 40 a second
    Then both load workloads are equal and differ from another seed's
    And the load workload has every kind of work, at about that rate
    And the load workload's chats contain the answers that engines give

  Scenario: A fleet that refuses is not fast
    Symptom: a fleet under overload looked better than one with room.
    Events: it refused one stream in ten, and answered the others in time.
    Cause: percentiles over the answers alone leave the refusals out.
    Given a load run with 90 streams in time and 10 refused
    Then the naive load summary says that the target was met
    And the load summary says that the target was not met

  Scenario: A generator that lags fails the run
    Given a load run whose generator was 0.5 s late
    Then the load run exits with 3

  Scenario Outline: A schedule that can't be read names its part
    When the load schedule "<text>" is read
    Then the load schedule is refused for "<part>"

    Examples:
      | text                        | part        |
      | 5:wave:sala-c:4,6:flood:x   | 6:flood:x   |
      | soon:kill:engine-0          | soon        |
      | 7:stop                      | 7:stop      |

  Scenario Outline: What a caller may send again
    When a load caller's <work> ends with status <status> and <executed>
    Then the load caller sends it again: <again>

    Examples:
      | work         | status | executed | again |
      | mandate      | 0      | none     | no    |
      | mandate      | 503    | no       | yes   |
      | mandate      | 503    | unknown  | no    |
      | registration | 0      | none     | yes   |
      | registration | 503    | unknown  | yes   |
      | pass_check   | 0      | none     | yes   |

  Scenario: Two runs are compared by class and percentile
    Given a load run with 90 streams in time and 10 refused
    When it is compared to a load run that is twice as slow
    Then the load comparison shows a ratio of 2 for the first token
