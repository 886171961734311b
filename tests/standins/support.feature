Feature: Support code for tests: the caller, the relay and reserved ports

  Scenario: The caller follows a moved stream and checks the complete answer
    Given two fake entry VMs, the first with the fault moves after 3 tokens
    When the caller requests 8 tokens
    Then the caller's answer is complete after 1 move and 0 disconnections

  Scenario: The caller resumes a disconnected stream at another entry VM
    Given two fake entry VMs, the first with the fault breaks after 3 tokens
    When the caller requests 8 tokens
    Then the caller's answer is complete after 0 moves and 1 disconnection

  Scenario: The caller tries another entry VM when one refuses connections
    Given two fake entry VMs, the first with the fault moves after 3 tokens
    And the first fake entry VM refuses connections
    When the caller requests 8 tokens
    Then the caller's answer is complete after 0 moves and 1 disconnection

  Scenario Outline: The caller's check detects a faulty answer
    Given two fake entry VMs, the first with the fault <fault> after 3 tokens
    When the caller requests 8 tokens
    Then the caller's check of the answer reports <problem>

    Examples:
      | fault     | problem      |
      | doubles   | out of order |
      | skips     | out of order |
      | swaps     | differ       |
      | shortens  | differ       |
      | errors    | not whole    |

  Scenario: Silenced connections stay silent while new connections work
    Given a relay in front of a plain service
    When a call waits for the service and the relay silences its connection
    Then the call gets no response although the service has run the operation
    And a call on a new connection through the relay succeeds

  Scenario: Connections through the relay are refused and later accepted
    Given a relay in front of a plain service
    When the relay refuses connections
    Then connections to the relay are refused until the relay is restored

  Scenario: A reserved port stays free for its process
    If a free port was only looked up for an entry VM, another process could
    get it before the entry VM listens on it. The entry VM would then exit, and
    about one start of a fleet in some hundred would fail.
    When a port is reserved for a process
    Then no other process can bind the reserved port or connect to it
    And the process can listen on the reserved port, also after a restart
