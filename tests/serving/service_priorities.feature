Feature: Levels of calls at contended services

  Scenario Outline: A long wait changes levels in mode on only
    Given priorities in mode <mode> with ranks 0 and 2
    When customer "a" sends <shorts> prompts of 700 tokens and 1 of 9000
    And every runner has <waiting> waiting tokens
    Then a prompt of 700 tokens and rank 2 has level <short> because of <cause>
    And a prompt of 9000 tokens and rank 0 has level <long> because of <why>
    And <changed> levels were counted as changed

    Examples:
      | mode    | shorts | waiting | short | cause | long | why  | changed |
      | off     | 20     | 90000   | 0     | none  | 0    | none | 0       |
      | observe | 20     | 90000   | 0     | none  | 0    | none | 2       |
      | on      | 20     | 90000   | 5     | rank  | 1    | rank | 2       |
      | on      | 1      | 90000   | 0     | size  | 0    | size | 0       |
      | on      | 20     | 1000    | 0     | none  | 0    | none | 0       |

  # Guards against changes on services that need no decision.
  Scenario Outline: A service with one rank or without an engine keeps nothing
    Given priorities in mode on with <what>
    When every runner has 90000 waiting tokens
    And customer "a" sends a prompt of 9000 tokens
    Then a prompt of 700 tokens and rank 2 has level 0 because of none
    And no counts are sent to other VMs, and there are no metrics of services

    Examples:
      | what                       |
      | rank 2 alone               |
      | ranks 0 and 2 and no engine |

  Scenario: A customer over its share is put behind those of its rank
    Given priorities in mode on with ranks 0 and 2
    When other VMs report 20 calls of customer "a" and 200 of "b" and "stranger"
    And every runner has 90000 waiting tokens
    Then a prompt of "a" of 9000 tokens and rank 0 has level 0
    And a prompt of "b" of 9000 tokens and rank 0 has level 1
    And a prompt of "a" of 9000 tokens and rank 2 has level 5
    And a prompt of "b" of 9000 tokens and rank 2 has level 6
    And the demand of "stranger" is unknown

  Scenario: Own prompts are counted and sent to the others
    Given priorities in mode on with ranks 0 and 2
    When customer "a" sends a prompt of 9000 tokens
    Then the counts of "a" are 1 call and 9000 tokens, here and for the others

  Scenario: Without contention every call has its usual level
    Given priorities in mode on with ranks 0 and 2
    Then prompts of any size, rank and customer priority have the usual level

  # Guards against streams that stop midway behind calls that only begin.
  Scenario Outline: A call that continues a stream goes before what begins
    Then a continued call of priority <priority> and level <usual> has level <level>

    Examples:
      | priority | usual | level |
      | 0        | 2     | 0     |
      | 0        | 0     | 0     |
      | 1        | 5     | 3     |
      | 1        | 1     | 1     |
      | 9        | 9     | 9     |
