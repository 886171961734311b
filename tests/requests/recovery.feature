Feature: What becomes of a stream in trouble

  Scenario Outline: One stream
    Given a stream with <notice> s of notice, cause <cause>, <candidates> runners
    And it needs <export> s to export and ends by itself in <left> s
    Then its recovery is "<decision>"

    Examples:
      | notice | cause  | candidates | export | left | decision   |
      | 30     | notice | 2          | 1      | 60   | ExportTo   |
      | 30     | notice | 2          | 29     | 60   | Replay     |
      | 30     | notice | 2          | 1      | 10   | CarryOn    |
      | 30     | notice | 0          | 1      | 60   | Wait       |
      | 0      | lost   | 2          | 1      | 60   | Replay     |
      | 0      | lost   | 0          | 1      | 60   | Wait       |
      | 900    | broken | 2          | 1      | 60   | ResumeSame |

  Scenario: A notice that comes twice
    Symptom: two runners work on one stream.
    Events: the notice for a VM is delivered a second time.
    Cause: the export that is under way is not taken into account.

    Given a stream with 30 s of notice, cause notice, 2 runners
    And it needs 1 s to export and ends by itself in 60 s
    And its export is under way
    Then its recovery is "CarryOn"

  Scenario: The runner is killed during the export
    Symptom: a stream that was announced for reclaim is lost.
    Events: the runner goes before the export or the import is done.
    Cause: nothing follows an export that fails.

    Given a stream with 0 s of notice, cause lost, 2 runners
    And it needs 1 s to export and ends by itself in 60 s
    And its export is under way
    Then its recovery is "Replay"

  Scenario: It never gives up early
    Then no stream is given up while its deadline and attempts last
