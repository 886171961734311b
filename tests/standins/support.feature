Feature: The test support's caller and relay

  Scenario: The caller follows a moved stream and checks the whole answer
    Given two entry VM fakes, the first moves streams after 3 tokens
    When the caller asks for 8 tokens
    Then the caller's answer is whole after 1 move and 0 breaks

  Scenario: The caller resumes a broken stream at another entry VM
    Given two entry VM fakes, the first breaks streams after 3 tokens
    When the caller asks for 8 tokens
    Then the caller's answer is whole after 0 moves and 1 break

  Scenario: The caller tries another entry VM when one refuses connections
    Given two entry VM fakes, the first moves streams after 3 tokens
    And the first entry VM fake refuses connections
    When the caller asks for 8 tokens
    Then the caller's answer is whole after 0 moves and 1 break

  Scenario Outline: The caller finds what is wrong with an answer
    Given two entry VM fakes, the first <fault> streams after 3 tokens
    When the caller asks for 8 tokens
    Then the caller's check says <problem>

    Examples:
      | fault     | problem      |
      | doubles   | out of order |
      | skips     | out of order |
      | swaps     | differ       |
      | shortens  | differ       |
      | errors    | not whole    |

  Scenario: Open connections go silent for good while new ones work
    Given a relay before a plain service
    When a call waits behind the relay and its connection goes silent
    Then the call gets no answer although the service has run it
    And a new connection through the relay works

  Scenario: Connections through the relay are refused and later accepted
    Given a relay before a plain service
    When the relay refuses connections
    Then a connection to the relay is refused until it is restored

  Scenario: A reserved port waits for its process
    Symptom: one start of a fleet in some hundred fails.
    Events: a port is looked up for an entry VM and let go; another process
    that asks for any port gets it; the entry VM can't listen and ends.
    Cause: a port that nobody has bound is anybody's.
    When a port is reserved
    Then nobody else can bind the port or connect from it
    And the process that is meant can listen on it, also after a restart
