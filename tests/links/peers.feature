Feature: The link between entry VMs

  Scenario: A call is answered by its handler
    Given a peer link that answers gossip
    Then a peer call "Gossip" is answered with its own number

  Scenario: A handler may answer later
    Given a peer link that answers gossip
    When a peer call "Run" is made and its future settled later
    Then that peer call is answered

  Scenario: A refusal says that nothing was done
    Given a peer link that answers gossip
    Then a peer call "Crash" is refused with "not now"
    And a peer call "Judge" is refused with "no Judge here"

  Scenario: A peer that is not there was sent nothing
    Given a peer link that answers gossip
    Then a peer call to a closed port is unavailable and was not sent
    And a peer call to "nonsense" is unavailable and was not sent

  Scenario: A handler that fails leaves open what was done
    Given a peer link that answers gossip
    Then a peer call "Handover" is unavailable and may have been sent

  Scenario: A connection that went silent is not used again
    Symptom: all calls to one peer time out, for minutes, though it is well.
    Events: a middlebox forgets the connection; packets vanish; new
      connections work.
    Cause: the cached connection looks open, and nobody will ever close it.
    Given a peer link that answers gossip, behind a relay
    When the peer relay goes silent on its connections
    Then a peer call "Gossip" is unavailable and may have been sent
    And a peer call "Gossip" is answered with its own number

  Scenario: The naive client stays on the silent connection
    Given a peer link that answers gossip, behind a relay
    When the peer relay goes silent on its connections
    Then a naive peer client times out twice

  Scenario: A connection is replaced at its age
    Given a peer link that answers gossip, behind a relay
    When the peer connection is older than its bound
    Then a peer call "Gossip" is answered with its own number
    And the peer relay has seen 2 connections

  Scenario: A planned stop answers what it has taken
    Symptom: a call to a stopping VM breaks off with its outcome unknown.
    Events: a call is being answered when its VM stops.
    Cause: the server was closed under the running call.
    Given a peer link that answers gossip
    When a peer call "Run" is made and the link is stopped meanwhile
    Then that peer call is answered
    And a peer call "Gossip" is unavailable and was not sent

  Scenario: A caller that gives up does not spoil the handler's future
    Given a peer link that answers gossip
    When a peer call "Run" times out before its future is settled
    Then the handler can still settle that future
