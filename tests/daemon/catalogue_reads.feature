Feature: Scheduled reads of the catalogue in the store

  Scenario: A newer version arrives during a read
    Guards against a false report that the store went back. A read begins, a
    peer sends a newer version, and the read returns the version that was the
    newest when it was read. The failure occurs if that version is compared
    with the one in force by then.
    Given a catalogue read that begins while version 5 is in force
    When the catalogue read, started before a newer version, returns version 5
    Then the store is not reported to have gone back

  Scenario: A read that began after the newer version returns an older one
    Given a catalogue read that begins while version 6 is in force
    When the catalogue read returns version 5
    Then the store is reported to have gone back to version 5
    When a catalogue watch returns version 7
    Then the store is not reported to have gone back

  Scenario: The store is read periodically
    A watch of a store that went back may never return a change.
    Given a catalogue read that begins while version 6 is in force
    When the catalogue read returns version 6
    Then the next catalogue read is due after 30.0 s

  Scenario: Failed reads are repeated at growing intervals
    Given a catalogue read that begins while version 6 is in force
    When the catalogue read fails 4 times
    Then the catalogue reads waited 0.25, 0.5, 1.0 and 1.0 s
