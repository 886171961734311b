Feature: Translation between the platform and the product by the adapter

  Scenario: A caller's call is decoded
    When the adapter reads a call with a prompt of 1460 and 80 tokens
    Then the decoded call has its key, its deadline of 8.0 s and 3 prompt parts
    And hop-by-hop headers are removed

  Scenario Outline: The adapter rejects malformed calls
    When the adapter reads a call with <fault>
    Then the adapter raises an error for the call

    Examples:
      | fault                  |
      | two Host headers       |
      | an absolute target     |
      | a non-numeric deadline |
      | an infinite deadline   |
      | parts without lengths  |

  # Guards against a caller that sets reserved headers, so that its call runs
  # for another customer or with another call's cached tokens. This happens
  # when the adapter forwards a caller's headers without removing these.
  Scenario: Reserved headers from a caller are dropped
    When a call that forges reserved headers is sent to a runner
    Then the runner gets the product's own values and nothing forged

  Scenario: Only a runner's marked answer guarantees that the call has not run
    Then only a marked answer guarantees that a call has not run

  # Guards against calls that fail as a runner's header can't be read.
  Scenario Outline: What a runner says of itself is decoded
    When the adapter reads a runner's response <status> with <header>
    Then the runner names the limit <limit> and asks for the rest <rest>

    Examples:
      | status | header                                     | limit | rest |
      | 200    | Server-Limit: 1.5                          | 1.5   | none |
      | 503    | Retry-After: 3                             | none  | 3    |
      | 429    | Retry-After: 3                             | none  | none |
      | 503    | Retry-After: Thu, 03 Dec 2026 10:00:00 GMT | none  | none |
      | 503    | Retry-After: nan                           | none  | none |
      | 200    | Server-Limit: -1                           | none  | none |

  Scenario Outline: A runner's word that it leaves is decoded
    When the adapter reads a runner's response <status> with <header>
    Then the runner <says> that it leaves

    Examples:
      | status | header              | says         |
      | 200    | Server-Leaving: 1   | says         |
      | 503    | Server-Leaving: 1   | says         |
      | 200    | Server-Leaving: 0   | does not say |
      | 200    | Server-Leaving: yes | does not say |

  Scenario Outline: A runner's word that it is fragile is decoded
    When the adapter reads a runner's response <status> with <header>
    Then the runner bears <rejections> rejections

    Examples:
      | status | header               | rejections |
      | 200    | Server-Brittle: 2    | 2          |
      | 503    | Server-Brittle: 0    | 0          |
      | 500    | Server-Brittle: 4    | 4          |
      | 200    | Server-Brittle: -1   | none       |
      | 200    | Server-Brittle: some | none       |

  Scenario: A configuration is decoded
    When the adapter reads a configuration with a split route
    Then the decoded configuration finds the longest prefix, the split and the customer

  Scenario: A runner's entry is decoded
    When the adapter reads the entry of a leaving runner
    Then the decoded runner has its address and is leaving

  Scenario: Store calls are encoded as the platform expects
    Then list, watch, create and replace calls have the expected paths and queries

  Scenario: A settings file is decoded
    When the adapter reads a settings file
    Then the decoded settings have its addresses, bounds and duties

  Scenario: Only the adapter contains names of the platform
    Then no source file of the product or its stand-ins contains a name of the platform

  # Guards against a stream that goes on by a word that isn't clear.
  Scenario Outline: A caller names the call that began its stream once
    When a call is read with the headers <headers>
    Then the call resumes the stream of "<call>"

    Examples:
      | headers                                   | call |
      | Last-Event-Id: 3, Resumes: a1             | a1   |
      | Last-Event-Id: 3                          |      |
      | Last-Event-Id: 3, Resumes:                |      |
      | Last-Event-Id: 3, Resumes: a1, Resumes: b |      |

  Scenario: A call that resumes nothing begins its own stream
    When a call is read with the headers Resumes: a1
    Then the call's stream is its own
