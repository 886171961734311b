Feature: A request that crashes its runners meets at most two of them

  Scenario: Callers without the system take the whole fleet down
    The naive version, which shows that the checks below can fail.
    Symptom: one request empties a pool.
    Events: a caller sends the same request to the next runner each time.
    Cause: nobody remembers what the dead runners had in common.
    Given engines that crash on poison, 6 of them behind 1 entry VMs
    When a naive caller sends the poison to each engine in turn
    Then 6 engines have crashed

  Scenario Outline: The caller sends it again to one entry VM after another
    Symptom: a request takes down one runner after the other.
    Events: the request crashes its runner <when>; its caller sends it
    again and again, each time to another entry VM, while others stream.
    Cause: each entry VM sees one crash and thinks of an ordinary death.
    Given engines that crash on poison <when>, 6 of them behind 3 entry VMs
    And 8 callers are streaming 160 tokens each
    When ana sends the poison 5 times, to one entry VM after another
    Then at most 2 engines have crashed
    And the last sendings were refused as quarantined, with a time
    And no refused poison that was told no had reached an engine
    And every answer is whole and no token came twice
    When the poison is harmless from now on
    Then a like request of bruno is served
    And ana's is still refused as quarantined

    Examples:
      | when               |
      | at once            |
      | after some tokens  |

  Scenario: Three callers send it at the same time
    Symptom: a request takes down one runner after the other.
    Events: three callers send one request to three entry VMs at once, and
    again when they are refused, while others stream.
    Cause: crashes are counted before the entry VMs hear of each other's.
    Given engines that crash on poison, 6 of them behind 3 entry VMs
    And 8 callers are streaming 160 tokens each
    When 3 callers send the poison at once, 3 times each
    Then at most 2 engines have crashed
    And the last sendings were refused as quarantined, with a time
    And no refused poison that was told no had reached an engine
    And every answer is whole and no token came twice

  Scenario: Two waves of reclaims quarantine nobody
    Symptom: innocent requests are refused for minutes after a reclaim.
    Events: all runners of a data centre die without a notice in the middle
    of streams, and soon those of another; the callers ask again.
    Cause: who was there at two deaths is taken for their cause.
    Given a fleet of 9 engines and 2 entry VMs
    And 12 callers are streaming 160 tokens each
    When the runners of dc-a are killed without a notice
    And 1.5 s later the runners of dc-b are killed without a notice
    Then every answer is whole and no token came twice
    And nobody is quarantined: the same requests are served again
