Feature: A leaving entry VM hands over what it has

  Scenario: Callers are told only after a peer has their request
    Symptom: a caller that goes where it was told finds no such request.
    Events: parts, receipts or whole peers get lost during the handover.
    Cause: the caller was told before the peer had confirmed.

    Then in random handovers each caller is told where its request is
    And in random handovers one peer at most may run the keys

  Scenario: Telling callers at once sends them where nothing is
    Then telling callers at once fails in some handover

  Scenario: Peers of other data centres come first
    Given a departure from "sala-a" with 40 running requests
    And peers "b" in "sala-a", "c" in "sala-b" and "d" in "sala-c"
    When the departure begins
    Then its parts go to "c" and "d" only

  Scenario: Nobody is left to take over
    Given a departure from "sala-a" with 1 running requests
    When the departure begins
    Then it is finished, incomplete

  Scenario: A record travels unchanged
    Then any record and ledger come out of their encoding as they went in
