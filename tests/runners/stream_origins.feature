Feature: Routing by the origin of streams

  Scenario: What continues a stream goes to runners of its origin only
    Given a router with runners "v1 v1 v2 v2 v2"
    Then streams of v1 continue at runners "0 1"
    And streams of v2 continue at runners "2 3 4"
    And streams of v3 continue nowhere

  # Guards against a stream of a version that a roll-out gives no calls.
  Scenario: A stream continues at a runner that is in no pool
    Given a router with runners "v1 v2 v2" of which "1 2" are in no pool
    Then streams of v2 continue at runners "1 2"
    And requests begin at runners "0"

  Scenario: A runner of unknown version matches nothing beside known versions
    Given a router with runners "? ? v1"
    Then streams of an unknown version continue nowhere
    And streams of v1 continue at runners "2"
    Given a router with runners "? ?"
    Then streams of an unknown version continue at runners "0 1"

  Scenario: A stream continues behind an open circuit rather than nowhere
    Given a router with runners "v1 v2"
    When runner 0 fails often
    Then requests begin at runners "1"
    And streams of v1 continue at runners "0"

  # Guards against blocks that the software of another version can't read.
  Scenario: Cached blocks are copied within a version
    Given a router with runners "v1 v2"
    When runner 0 has a prompt cached
    Then runner 1 copies it from nowhere
    Given a router with runners "v1 v1 v2"
    When runner 0 has a prompt cached
    Then runner 1 copies it from runner 0

  # Guards against streams that find no room at the few runners of a version.
  Scenario Outline: New requests leave room to the streams of scarce versions
    Given a router with runners "<versions>"
    When each runner has <requests> requests in its 16 slots
    Then the room of runners "<reserved>" is reserved

    Examples:
      | versions             | requests | reserved |
      | v1 v1 v2 v2 v2 v2    | 7     |             |
      | v1 v1 v2 v2 v2 v2    | 8     | 0 1         |
      | v1 v1 v2 v2 v2 v2    | 12    | 0 1 2 3 4 5 |
      | v1 v1 v1 v2 v2 v2 v2 | 11    | 0 1 2       |
      | v1 v2 v2 v2          | 8     | 0           |
      | v1 v1 v1 v1          | 15    |             |
