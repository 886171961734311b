Feature: Evacuation of many streams at once

  Scenario: Streams are spread evenly over the remaining runners
    Given 40 streams on leaving runners with 0.4 s of notice
    And 4 runners with 20 free slots, the last one being reclaimed
    Then no runner gets more than 14 streams, the one being reclaimed 0

  Scenario: When slots are short the streams of lowest rank wait
    Given 14 streams on leaving runners with 30 s of notice
    And 2 runners with 3 free slots, the last one being reclaimed
    Then 8 streams wait, all of the lowest rank

  Scenario: Streams with the most tokens to recompute are exported first
    Given 40 streams on leaving runners with 2.6 s of notice
    And 4 runners with 40 free slots, the last one being reclaimed
    Then 8 streams are exported, those with the most tokens, and 32 wait

  Scenario: Streams without an export are replayed just before the reclaim
    Given 40 streams on leaving runners with 0.4 s of notice
    And 4 runners with 40 free slots, the last one being reclaimed
    Then 40 streams are replayed
