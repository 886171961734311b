Feature: Workload, schedule, retries and summary of the load tool

  Scenario: The same seed gives the same requests at the same times
    When a load workload is generated twice for 30 s at 40 requests per second
    Then both load workloads are equal and differ from that of another seed
    And the load workload has every kind of work and Poisson arrivals at that rate
    And the chat history in the load workload contains the answers of the engines

  Scenario: Refused streams count as late
    An overloaded fleet that refused one stream in ten and answered the others
    in time looked better than a fleet with free capacity. Percentiles over the
    answers alone leave the refusals out.
    Given a load run with 90 streams on time and 10 refused
    Then a summary of the answered streams alone reports the target as met
    And the load summary reports the target as missed

  Scenario: A run fails if the load generator lagged
    Given a load run whose generator lagged by 0.5 s
    Then the load run exits with 3

  Scenario Outline: The error for an invalid fault schedule names the invalid part
    When the fault schedule "<text>" is parsed
    Then the error of the fault schedule names "<part>"

    Examples:
      | text                        | part        |
      | 5:wave:sala-c:4,6:flood:x   | 6:flood:x   |
      | soon:kill:engine-0          | soon        |
      | 7:stop                      | 7:stop      |

  Scenario Outline: The load tool retries only requests that are safe to repeat
    When a <work> of the load tool ends with status <status> and executed <executed>
    Then the load tool retries it: <retried>

    Examples:
      | work         | status | executed | retried |
      | mandate      | 0      | none     | no      |
      | mandate      | 503    | no       | yes     |
      | mandate      | 503    | unknown  | no      |
      | registration | 0      | none     | yes     |
      | registration | 503    | unknown  | yes     |
      | pass_check   | 0      | none     | yes     |

  Scenario: Two runs are compared by class and percentile
    Given a load run with 90 streams on time and 10 refused
    When it is compared with a load run that is twice as slow
    Then the load comparison has a ratio of 2 for the first token
