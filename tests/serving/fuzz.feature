Feature: What callers send is read as a strict server reads it

  # Symptom: a call runs that no check has seen, or a check sees another call
  # than the one that runs.
  # Events: a caller sends two lengths, a lone line feed, a space before a
  # colon, or bytes that are no request at all.
  # Cause: a reader that makes the best of what two readers may understand
  # differently.
  Scenario: Requests that are mangled at random
    Then 600 connections of mangled requests are read as by the strict reader

  Scenario Outline: Requests known for smuggling
    When a smuggler sends <trick>
    Then no call reaches a handler and the connection is closed

    Examples:
      | trick                             |
      | a length and chunks               |
      | two lengths                       |
      | two equal lengths                 |
      | a signed length                   |
      | a coding that is not known        |
      | chunked twice                     |
      | a space before the colon          |
      | a folded header                   |
      | a bare line feed                  |
      | a null in a header                |
      | a chunk size with a sign          |
      | a chunk without its line end      |
      | an absolute target                |
