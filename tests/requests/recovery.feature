Feature: Recovery of a stream whose runner leaves or fails

  Scenario Outline: The recovery depends on the cause and the time left
    Given a stream with <notice> s of notice, cause <cause>, <candidates> runners
    And it needs <export> s to export and ends by itself in <left> s
    Then the recovery decision is "<decision>"

    Examples:
      | notice | cause  | candidates | export | left | decision    |
      | 30     | notice | 2          | 1      | 60   | ExportTo    |
      | 30     | notice | 2          | 29     | 60   | Replay      |
      | 30     | notice | 2          | 1      | 10   | KeepRunning |
      | 30     | notice | 0          | 1      | 60   | Wait        |
      | 0      | lost   | 2          | 1      | 60   | Replay      |
      | 0      | lost   | 0          | 1      | 60   | Wait        |
      | 900    | broken | 2          | 1      | 60   | Reconnect   |

  Scenario: A notice that arrives twice
    Guards against two runners that work on one stream. The notice for a VM is
    delivered a second time while an export is in progress, and the recovery
    ignores that export.

    Given a stream with 30 s of notice, cause notice, 2 runners
    And it needs 1 s to export and ends by itself in 60 s
    And its export is in progress
    Then the recovery decision is "KeepRunning"

  Scenario: The runner is killed during the export
    Guards against losing a stream after a notice. The runner is reclaimed
    before the export or the import is complete, and nothing is done after the
    failed export.

    Given a stream with 0 s of notice, cause lost, 2 runners
    And it needs 1 s to export and ends by itself in 60 s
    And its export is in progress
    Then the recovery decision is "Replay"

  Scenario: A stream is not given up early
    Then no stream is given up before its deadline while attempts are left
