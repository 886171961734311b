Feature: Connections to runners

  # Guards against runners that count as unreachable, and calls that are refused
  # for it, as the VM's own process was paused while it connected to them.
  Scenario: A connection that opens while the process is paused is used
    Given a port that accepts connections
    When the process is paused for 0.3 s while it connects within 0.1 s
    Then the connection is open

  Scenario: A connection that does not open in time is given up
    Given a port at which no connection opens
    When the process connects within 0.1 s
    Then it gives up with TimeoutError after 0.1 to 0.3 s
