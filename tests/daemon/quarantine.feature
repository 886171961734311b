Feature: A request that crashes its runners reaches at most two of them

  Scenario: A caller without the system crashes the whole fleet
    Shows that the checks for the number of crashed engines can fail. A caller
    sends the same request to one engine after another, and nothing records
    what the crashed engines had in common.
    Given engines that crash on poison, 6 of them behind 1 entry VMs
    When a naive caller sends the poison to each engine in turn
    Then 6 engines have crashed

  Scenario Outline: A caller repeats the request at one entry VM after another
    Guards against a request that crashes one runner after another. The request
    crashes its runner <when>, and its caller repeats it, each time at
    another entry VM, while others stream. The failure occurs if each entry VM
    sees only one crash and takes it for an ordinary one.
    Given engines that crash on poison <when>, 6 of them behind 3 entry VMs
    And 8 callers are streaming 160 tokens each
    When ana sends the poison 5 times, to one entry VM after another
    Then at most 2 engines have crashed
    And the last attempts were refused as quarantined, with a time to retry
    And no poison reported as not executed had reached an engine
    And every answer is whole and no token came twice
    When the poison is harmless from now on
    Then the same request from bruno is served
    And the request from ana is still refused as quarantined

    Examples:
      | when               |
      | at once            |
      | after some tokens  |

  # Guards against engines that crash one after the other under requests that
  # have one message in common and are otherwise all different.
  Scenario Outline: Requests with one poisoned part are refused, others served
    Given engines that crash on poison at once, 9 of them behind 3 entry VMs
    And 8 callers are streaming 160 tokens each
    When ana sends 8 different requests with the poison in <part>, to one entry VM after another
    Then at most 5 engines have crashed
    And the last attempts were refused as quarantined, with a time to retry
    And no poison reported as not executed had reached an engine
    And a request of ana without the poison is served

    Examples:
      | part                        |
      | a common message            |
      | a common beginning of texts |

  Scenario: Three callers send the request at the same time
    Guards against a request that crashes one runner after another. Three
    callers send the request to three entry VMs concurrently, and again when
    they are refused, while others stream. The failure occurs if crashes are
    counted before the entry VMs know of each other's.
    Given engines that crash on poison, 6 of them behind 3 entry VMs
    And 8 callers are streaming 160 tokens each
    When 3 callers send the poison at once, 3 times each
    Then at most 2 engines have crashed
    And the last attempts were refused as quarantined, with a time to retry
    And no poison reported as not executed had reached an engine
    And every answer is whole and no token came twice

  Scenario: Two waves of reclaims quarantine no request
    Guards against harmless requests that are refused for minutes after a
    reclaim. All runners of a data centre end without a notice during streams,
    soon followed by those of another, and the callers repeat their requests.
    The failure occurs if a request that was at two crashed runners is taken
    for the cause of both crashes.
    Given a fleet of 9 engines and 2 entry VMs
    And 12 callers are streaming 160 tokens each
    When the runners of dc-a are killed without a notice
    And 1.5 s later the runners of dc-b are killed without a notice
    Then every answer is whole and no token came twice
    And the same requests are served again, as none is quarantined
