Feature: The versions that have served of late

  Scenario: A version counts for a while after its last runner is gone
    Given a history of versions
    When runners "s@v1 s@v2 t@v7" serve
    And 5 seconds go by
    And runners "s@v2 t@v7" serve
    And 5 seconds go by
    Then streams of "s" of the last 6 seconds began at "s@v1 s@v2"
    And streams of "s" of the last 4 seconds began at "s@v2"
    And "s" may have streams of several versions
    And "t" may not have streams of several versions

  Scenario: A version that is gone for long is forgotten
    Given a history of versions
    When runners "s@v1 s@v2" serve
    And runners "s@v2" serve
    And 300 seconds go by
    Then "s" may not have streams of several versions

  Scenario: A version that comes back counts as present
    Given a history of versions
    When runners "s@v1 s@v2" serve
    And runners "s@v2" serve
    And runners "s@v1" serve
    And 100 seconds go by
    Then streams of "s" of the last 60 seconds began at "s@v1"
