Feature: Pooled connections to upstreams

  Scenario: Connections to runners that have gone are closed
    Nobody calls a runner again after it has gone. If a connection's age were
    checked only when the connection is taken from the pool, an entry VM
    would run out of sockets after days.
    When a pool keeps a connection to each of 500 upstreams in turn
    Then it never keeps more than 45 of them
    And it has closed each one that it doesn't keep

  Scenario: Pooled connections are taken latest first, up to a maximum age
    When a pool keeps 3 connections to one upstream, 5.0 s apart
    Then they are taken from the latest to the oldest
    And after another 20.0 s none is taken

  Scenario: Timeouts of stale connections are told apart from an overload
    A dozen lookups wait on pooled connections when a middlebox drops the
    state of all of them. If each repeat counted against the retry budget, as
    for an overload, one lookup would fail although each service is healthy.
    When 12 calls on pooled connections to one upstream time out
    Then none of their repeats counts against the retry budget
    But a repeat after a connection that was opened later does count
    And after 30.0 s the pooled connections are blamed once more
