Feature: A leaving entry VM hands over its requests and its ledger

  Scenario: Callers are redirected only after a peer has their request
    Guards against redirecting a caller to a VM without its request. Parts,
    receipts or whole peers are lost during the handover, and the caller was
    redirected before the peer confirmed that it has the request.

    Then in random handovers each caller is redirected to its request
    And in random handovers at most one peer may run the keys

  Scenario: Redirecting callers at once sends some to the wrong VM
    Then redirecting callers at once fails in some handover

  Scenario: Peers in other data centres are preferred
    Given a handover from "sala-a" with 40 running requests
    And peers "b" in "sala-a", "c" in "sala-b" and "d" in "sala-c"
    When the handover starts
    Then its parts go to "c" and "d" only

  Scenario: A handover without peers ends incomplete
    Given a handover from "sala-a" with 1 running requests
    When the handover starts
    Then the handover ends incomplete

  Scenario: Encoding does not change records and ledgers
    Then any record and ledger are decoded as they were encoded
