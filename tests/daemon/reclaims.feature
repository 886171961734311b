Feature: Streams continue when their runners are reclaimed or die

  Scenario: A caller without the system loses its answer in a reclaim
    Shows that the checks below can fail: a caller streams directly from a
    runner that is reclaimed, nothing moves the stream, and the answer is
    truncated.
    Given a fleet of 3 engines and 1 entry VMs
    When 2 callers stream 80 tokens directly from the runners of dc-a
    And the runners of dc-a are reclaimed after a notice of 1.0 s
    Then an answer is broken

  Scenario: A whole data centre is reclaimed in the middle of streams
    Guards against answers that are truncated or start again because streams
    stay on runners that are about to end. All runners of a data centre get a
    notice at the same time, and no replacement can be bought.
    Given a fleet of 6 engines and 2 entry VMs
    And 16 callers are streaming 120 tokens each
    When no VM can be bought
    And the runners of dc-a are reclaimed after a notice of 2.0 s
    Then every answer is whole and no token came twice
    And some streams were moved
    And no token was recomputed
    And at most 1.2 s passed between two tokens

  Scenario: A repeated notice moves a stream only once
    Guards against a stream that stalls or is processed by two runners. The
    same notice is published again while streams move, and must not start a
    second move.
    Given a fleet of 4 engines and 2 entry VMs
    And 8 callers are streaming 120 tokens each
    When the runners of dc-a are reclaimed after a notice of 2.5 s
    And the runners of dc-a get a second reclaim notice of 2.4 s
    Then every answer is whole and no token came twice
    And no token was recomputed

  Scenario: Runners are killed without a notice
    Guards against streams that end before their last token. All runners of a
    data centre die at the same time without any state to export; the tokens
    already sent have to serve as the prefix.
    Given a fleet of 6 engines and 2 entry VMs
    And 12 callers are streaming 100 tokens each
    When the runners of dc-a are killed without a notice
    Then every answer is whole and no token came twice
    And no more tokens were recomputed than the killed runners had computed

  Scenario: A runner dies while it exports a stream
    Guards against a stream that never continues. The notice leaves enough
    time, but the export takes long and the runner dies before it answers.
    Given a fleet of 3 engines and 1 entry VMs
    And exports take 1.5 s at the runners of dc-a
    And 6 callers are streaming 120 tokens each
    When the runners of dc-a get a reclaim notice of 6.0 s
    And 0.7 s later the runners of dc-a are killed without a notice
    Then every answer is whole and no token came twice

  Scenario: A runner can't import a stream
    Guards against a stream that ends although its tokens are known. The
    export succeeds, and the target refuses the import because the state does
    not fit on any other runner at that moment.
    Given a fleet of 3 engines and 1 entry VMs
    And imports fail at the runners of dc-b
    And imports fail at the runners of dc-c
    And 6 callers are streaming 100 tokens each
    When the runners of dc-a are reclaimed after a notice of 2.0 s
    Then every answer is whole and no token came twice

  Scenario: A leaving runner gets no new work while the list is stale
    Guards against requests that start on runners that are about to end. The
    notice has been published, the platform's list shows the runners as live
    for seconds, and new requests arrive: the notice must prevail.
    Given a fleet of 3 engines and 2 entry VMs
    And the platform's list lags by 20.0 s
    When the runners of dc-a get a reclaim notice of 8.0 s
    And 1.0 s later 12 callers stream 10 tokens each
    Then every answer is whole and no token came twice
    And the runners of dc-a executed nothing
