Feature: Callers can tell a stream that ended from one that broke off

  # Guards against a stream that looks complete to a caller who read it too
  # slowly to get all of it.
  Scenario Outline: Only a stream that was written to its end is framed as whole
    Given a server of callers whose stream <does>
    When a caller reads the stream <when>
    Then its framing shows it to be <shown>

    Examples:
      | does                          | when                    | shown      |
      | ends after 3 events           | at once                 | whole      |
      | is written until nobody reads | after its writer ended  | broken off |
      | fails after 3 events          | at once                 | broken off |
