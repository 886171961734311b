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
