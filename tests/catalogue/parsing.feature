Feature: Incremental parsing of the versions of the catalogue

  Scenario: Items reused from the previous version don't change the result
    Then parsing catalogues incrementally equals parsing each from scratch
