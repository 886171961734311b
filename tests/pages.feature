Feature: The pages name files that there are

  Scenario: Each source file and scenario file that a page names exists
    Then no page names a file that is gone
