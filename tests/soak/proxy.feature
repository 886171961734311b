Feature: Cuts by the soak's proxy

  # Guards against a soak whose cuts aren't what a VM sees of a cut path.
  Scenario Outline: A cut acts on open and on new connections
    Given a proxy with an open connection to an echo server
    When the proxy is cut by <cut>
    Then a message on the open connection <open>
    And a new connection <new>
    When the cut ends
    Then a new connection echoes
    And a message on the open connection <later>

    Examples:
      | cut        | open           | new         | later          |
      | hang       | has no answer  | times out   | had its answer |
      | reset      | is reset       | is refused  | is reset       |
      | refuse_new | echoes         | is refused  | echoes         |

  # Guards against cuts that end each other or leave a port without a listener.
  Scenario: A cut right after another one holds
    Given a proxy with an open connection to an echo server
    When the proxy is cut by reset, healed and cut by reset
    Then a new connection is refused
    When the cut ends
    Then a new connection echoes

  Scenario: Nothing listens at the target for a time
    Given a proxy with an open connection to an echo server
    When the target goes down
    Then a new connection is refused
    And a message on the open connection is reset
    When the target is up again
    Then a new connection echoes
