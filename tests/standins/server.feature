Feature: A stand-in's faults are in force once its control has answered

  Scenario: Connections are refused and accepted as the control says
    Symptom: once in some hundred runs a scenario that has just mended a
    stand-in gets "connection refused" from it.
    Events: a stand-in that refuses connections is reset; its loop is busy
    for a moment; the next call comes at once.
    Cause: the control answers before the loop has listened again.
    Given a stand-in whose loop is busy for 0.3 s before each control call
    When its control is told to refuse connections
    Then the next connection is refused
    When its control is told to reset
    Then the next connection is accepted
