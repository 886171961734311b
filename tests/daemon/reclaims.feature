Feature: Streams outlive the runners that they run on

  Scenario: A caller without the system loses its answer in a reclaim
    The naive version, which shows that the checks below can fail.
    Symptom: a stream ends in the middle.
    Events: a caller streams from a runner itself; the runner is taken.
    Cause: nobody moves the stream.
    Given a fleet of 3 engines and 1 entry VMs
    When 2 callers stream 80 tokens straight from the runners of dc-a
    And the runners of dc-a are taken after a notice of 1.0 s
    Then an answer is broken

  Scenario: A whole data centre is reclaimed in the middle of streams
    Symptom: notaries see half a mandate, or start again.
    Events: all runners of a data centre get a notice at once, and the
    cloud sells no replacement.
    Cause: streams stay on runners that are about to end.
    Given a fleet of 6 engines and 2 entry VMs
    And 16 callers are streaming 120 tokens each
    When no VM can be bought
    And the runners of dc-a are taken after a notice of 2.0 s
    Then every answer is whole and no token came twice
    And some streams were moved
    And no token was computed again
    And at most 1.2 s passed between two tokens

  Scenario: A notice that comes twice moves a stream once
    Symptom: two runners work on one stream, or it stalls.
    Events: the same notice is published again while streams move.
    Cause: the second notice starts a second move.
    Given a fleet of 4 engines and 2 entry VMs
    And 8 callers are streaming 120 tokens each
    When the runners of dc-a are taken after a notice of 2.5 s
    And the runners of dc-a are announced again with 2.4 s
    Then every answer is whole and no token came twice
    And no token was computed again

  Scenario: Runners are killed without a notice
    Symptom: streams end without their last token.
    Events: all runners of a data centre die at once.
    Cause: no state is left to export; the tokens sent must serve as prefix.
    Given a fleet of 6 engines and 2 entry VMs
    And 12 callers are streaming 100 tokens each
    When the runners of dc-a are killed without a notice
    Then every answer is whole and no token came twice
    And no more tokens were computed again than the dead runners had done

  Scenario: A runner dies while it exports
    Symptom: a moving stream never goes on.
    Events: a notice leaves time; the export takes long; the runner dies.
    Cause: the export's answer never comes.
    Given a fleet of 3 engines and 1 entry VMs
    And exports take 1.5 s at the runners of dc-a
    And 6 callers are streaming 120 tokens each
    When the runners of dc-a are announced with 6.0 s
    And 0.7 s later the runners of dc-a are killed without a notice
    Then every answer is whole and no token came twice

  Scenario: A runner cannot import
    Symptom: a moving stream ends, though its tokens are known.
    Events: the export is done, and the target refuses the import.
    Cause: the state fits no other runner at that moment.
    Given a fleet of 3 engines and 1 entry VMs
    And imports fail at the runners of dc-b
    And imports fail at the runners of dc-c
    And 6 callers are streaming 100 tokens each
    When the runners of dc-a are taken after a notice of 2.0 s
    Then every answer is whole and no token came twice

  Scenario: A leaving runner gets no new work, though the list lags
    Symptom: requests start on runners that are about to end.
    Events: the notice is out; the platform's list still shows the runner
    as live; new requests come for seconds.
    Cause: the list is believed over the notice.
    Given a fleet of 3 engines and 2 entry VMs
    And the platform's list lags by 20.0 s
    When the runners of dc-a are announced with 8.0 s
    And 1.0 s later 12 callers stream 10 tokens each
    Then every answer is whole and no token came twice
    And the runners of dc-a executed nothing
