Feature: Many streams leave together

  Scenario: A wave is spread over the surviving runners
    Given a wave of 40 streams with 0.4 s of notice
    And 4 runners with 20 free slots, the last one doomed
    Then no runner gets more than 14 of the wave, the doomed one 0

  Scenario: When slots are short the least valuable streams wait
    Given a wave of 14 streams with 30 s of notice
    And 2 runners with 3 free slots, the last one doomed
    Then 8 streams wait, all of the lowest value

  Scenario: The streams that lose the most are exported first
    Given a wave of 40 streams with 2.6 s of notice
    And 4 runners with 40 free slots, the last one doomed
    Then 8 streams are exported, those with the most tokens, and 32 wait

  Scenario: What has had no turn is replayed just before the end
    Given a wave of 40 streams with 0.4 s of notice
    And 4 runners with 40 free slots, the last one doomed
    Then 40 streams are replayed
