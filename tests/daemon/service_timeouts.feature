Feature: Timeouts of calls of plain services

  # Guards against idempotent calls that run twice, because a sound upstream
  # sends nothing for a second.
  Scenario Outline: An upstream has longer to answer than a sound one is silent
    When the target for the first byte of a plain service is <target> s
    Then its upstream has <timeout> s to begin its answer

    Examples:
      | target | timeout |
      | 0.1    | 1.5     |
      | 0.2    | 1.5     |
      | 1.0    | 5.0     |
