Feature: Records of where streams began

  Scenario: A record ends by itself
    Given a table of origins
    When stream "a" is recorded at v1 for 10 seconds
    And 9 seconds go by
    Then stream "a" began at v1
    When 2 seconds go by
    Then nothing is known of stream "a"

  Scenario: A stream that goes on can be taken up again for longer
    Given a table of origins
    When stream "a" is recorded at v1 for 10 seconds
    And 9 seconds go by
    And stream "a" is recorded at v1 for 10 seconds
    And 9 seconds go by
    Then stream "a" began at v1

  # Guards against a record that arrives late and shortens a newer one's life.
  Scenario: An older record does not replace a newer one
    Given a table of origins
    When stream "a" is recorded at v1 for 10 seconds
    And stream "a" is recorded at v1 for 10 seconds, 8 seconds ago
    And 5 seconds go by
    Then stream "a" began at v1

  # Guards against memory that grows with a flood of ids.
  Scenario: The oldest records are dropped beyond the limit
    Given a table of origins with room for 3 records
    When streams "a b c d e" are recorded
    Then nothing is known of stream "a"
    And nothing is known of stream "b"
    And stream "e" began at v1
    And the table has 3 records

  Scenario: Records that have ended take no memory
    Given a table of origins
    When streams "a b c d e" are recorded
    And 60 seconds go by
    Then the table has 0 records after it expired

  # Guards against a stream that another customer takes up.
  Scenario: Two customers' streams with one id have different keys
    Then the keys of customers "x" and "y" for "call" differ
    And the keys of customers "x" with "call" and "xc with all" differ
