Feature: The difference between two catalogues

  Scenario: Changing every named field turns one document into the other
    Then applying a catalogue difference gives the other document
