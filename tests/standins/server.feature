Feature: A fault change is in effect when its control call returns

  Scenario: Connections are refused and accepted after a control call
    If a control call returned before the server loop has listened again, a
    connection made right after a reset would sometimes be refused, in about
    one of some hundred test runs.
    Given a stand-in whose loop is blocked for 0.3 s before each control call
    When a control call makes the stand-in refuse connections
    Then the next connection to the stand-in is refused
    When a control call resets the stand-in's faults
    Then the next connection to the stand-in is accepted
