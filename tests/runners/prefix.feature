Feature: Prefix index

  Scenario: Block hashes identify whole prefixes
    Then two prompts share exactly the prefix hashes of their common blocks

  Scenario: The index agrees with plain sets if no event is lost
    Then prefix claims equal those of plain sets after any complete events

  Scenario: Memory is bounded
    Given a prefix index of 50 blocks for each of 3 runners
    When 1000 prompts of 8 blocks are routed to each of its runners
    Then the prefix index holds at most 150 claims

  Scenario: Removals that are lost in a gap of the events
    Guards against sending requests to a runner that must recompute their
    prefix. The runner evicts most of its cache while its events are lost.
    Given a runner whose cache held 10 blocks of a prefix
    When 40 of its cache events, half of them removals, are lost
    Then the prefix index expects less than 5 of the blocks
    But the plain sets still expect 10 of the blocks

  Scenario: A runner that restarted
    Guards against expecting cached prefixes after a restart. The process
    starts with an empty cache, and its events count from 0 again.
    Given a runner whose cache held 10 blocks of a prefix
    When its cache events start again from the first number
    Then the prefix index expects none of the blocks
