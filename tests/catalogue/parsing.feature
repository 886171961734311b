Feature: Parsing one version of the catalogue after the other

  Scenario: What a parser keeps from the version before changes no result
    Then parsing catalogues in turn equals parsing each of them anew
