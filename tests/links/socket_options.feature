Feature: Socket options of connections that may go silent

  # Guards against a sound connection that ends after one lost probe, because
  # TCP_USER_TIMEOUT decides when probes have failed, whatever their count.
  Scenario Outline: A silent connection ends after all of its probes
    When a connection is opened <where>
    Then <probes> unanswered probes end it after <seconds> seconds

    Examples:
      | where                     | probes | seconds |
      | to an upstream            | 3      | 6       |
      | to the platform           | 3      | 11      |
      | to a peer                 | 3      | 30      |
      | by a peer                 | 3      | 30      |
      | by a caller               | 3      | 11      |
      | by a caller to the daemon | 3      | 11      |
