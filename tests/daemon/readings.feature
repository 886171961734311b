Feature: What a read of the catalogue's object proves

  Scenario: A read overtaken by a newer version proves nothing
    Symptom: "the store went back" is reported though nothing happened.
    Events: a read begins; a peer tells of a newer version; the read's
    answer comes, with the version that was the newest when it was read.
    Cause: the answer is compared with what is in force by now.
    Given a catalogue reading that begins while version 5 is in force
    When the catalogue reading, overtaken, gives version 5
    Then the catalogue reading does not tell that the store went back

  Scenario: A read that began after the newer version does
    Given a catalogue reading that begins while version 6 is in force
    When the catalogue reading gives version 5
    Then the catalogue reading tells that the store is at version 5
    When a catalogue watch shows version 7
    Then the catalogue reading does not tell that the store went back

  Scenario: The store is read again now and then
    A watch of a store that went back may stay silent for ever.
    Given a catalogue reading that begins while version 6 is in force
    When the catalogue reading gives version 6
    Then the next catalogue reading is due after 30.0 s

  Scenario: Failed reads are repeated at growing intervals
    Given a catalogue reading that begins while version 6 is in force
    When the catalogue reading fails 4 times
    Then the catalogue readings waited 0.25, 0.5, 1.0 and 1.0 s
