Feature: Kept connections to upstreams

  Scenario: Connections of runners that are gone don't pile up
    Symptom: after days an entry VM can open no more sockets.
    Events: runners come, are called and go; nobody calls them again.
    Cause: a kept connection is looked at only when it is taken.
    When a pool keeps a connection to each of 500 upstreams in turn
    Then it never keeps more than 45 of them
    And it has closed each one that it doesn't keep

  Scenario: A kept connection is taken while it is young, the latest first
    When a pool keeps 3 connections to one upstream, 5.0 s apart
    Then they are taken from the latest to the oldest
    And after another 20.0 s none is taken

  Scenario: Connections that fell silent together are told from an overload
    Symptom: after a path lost track of its connections, one lookup of a
    dozen ends unanswered although each service is well.
    Events: a dozen lookups are out on kept connections when all of those
    fall silent; each is repeated, and the retry budget runs out.
    Cause: a silent connection is charged like an overloaded upstream.
    When 12 calls on kept connections to one upstream get no answer
    Then none of their repeats is charged
    But a call on a connection that was opened later is charged
    And after 30.0 s a silence is taken for the connections' once more
