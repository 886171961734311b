Feature: The difference between two catalogues

  Scenario: Applying all changes to one document gives the other
    Then applying a catalogue difference gives the other document
