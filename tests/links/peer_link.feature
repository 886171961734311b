Feature: The link between entry VMs

  Scenario: A call is answered by its handler
    Given a peer link that answers gossip
    Then a peer call "Gossip" is answered with its own sequence number

  Scenario: A handler may answer later
    Given a peer link that answers gossip
    When a peer call "Run" is made and its future completes later
    Then that peer call is answered

  Scenario: A refusal says that the call had no effect
    Given a peer link that answers gossip
    Then a peer call "Crash" is refused with "not now"
    And a peer call "Judge" is refused with "no handler for Judge"

  Scenario: A call to a peer that can't be reached is not sent
    Given a peer link that answers gossip
    Then a peer call to a closed port is unavailable and was not sent
    And a peer call to "nonsense" is unavailable and was not sent

  Scenario: After an error in a handler the call may have had an effect
    Given a peer link that answers gossip
    Then a peer call "Handover" is unavailable and may have been sent

  Scenario: A connection that stopped carrying packets is not used again
    A middlebox drops an open connection's state, so that its packets are
    lost without a reset while new connections work. If the connection stays
    cached, all calls to this healthy peer time out for minutes.
    Given a peer link that answers gossip, behind a relay
    When the peer relay drops the traffic of its open connections
    Then a peer call "Gossip" is unavailable and may have been sent
    And a peer call "Gossip" is answered with its own sequence number

  Scenario: A client that keeps its connection goes on timing out
    Given a peer link that answers gossip, behind a relay
    When the peer relay drops the traffic of its open connections
    Then a peer client that keeps its connection times out twice

  Scenario: A connection past its maximum age is replaced
    Given a peer link that answers gossip, behind a relay
    When the peer connection is older than its maximum age
    Then a peer call "Gossip" is answered with its own sequence number
    And the peer relay has accepted 2 connections

  Scenario: A planned stop completes the calls in progress
    Closing the server under a running call would break the call off and
    leave its outcome unknown to the caller.
    Given a peer link that answers gossip
    When a peer call "Run" is made and the link is stopped meanwhile
    Then that peer call is answered
    And a peer call "Gossip" is unavailable and was not sent

  Scenario: A call that times out does not cancel the handler's future
    Given a peer link that answers gossip
    When a peer call "Run" times out before its future completes
    Then the handler can still complete that future

  Scenario Outline: A call that crosses a GOAWAY
    Guards against reporting a call as perhaps run that the peer excludes by
    its GOAWAY, and against reporting one as not run that it doesn't exclude.
    Given a peer that names stream <last> in a GOAWAY after its second call
    Then a peer call "Gossip" is answered with its own sequence number
    And a peer call "Gossip" is unavailable and <outcome>

    Examples:
      | last | outcome              |
      | 1    | was not sent         |
      | 3    | may have been sent   |

  Scenario: An answer in the same packet as a GOAWAY
    Guards against losing the answer of a call that was run.
    Given a peer that sends its first answer together with a GOAWAY
    Then a peer call "Gossip" is answered with its own sequence number
    And a peer call "Gossip" is unavailable and was not sent

  Scenario: A stopping link names the last call that it handled
    Guards against a reset in place of the GOAWAY. A client that has not read
    it yet sends a call, and the socket has closed already.
    Given a peer link that answers gossip
    And a slow client whose call "Gossip" it has answered
    When the link stops
    And the slow client calls "Run" before it reads
    Then it reads a GOAWAY that names stream 1, and the connection's end
    And the handler of "Run" was not called

  Scenario: A call that outlasts the grace of a planned stop may have been run
    Guards against reporting a handled call as not sent.
    Given a peer link that answers gossip
    When a peer call "Run" outlasts the stop of the link
    Then that peer call is unavailable and may have been sent
