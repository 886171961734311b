Feature: Callers' requests are parsed as by a strict HTTP parser

  # Guards against request smuggling: a lenient parser accepts two lengths, a
  # bare line feed, a space before a colon or bytes that are no request, so a
  # call runs that no check has seen, or not as it was checked.
  Scenario: Randomly mutated requests
    Then 600 connections of mutated requests are parsed as by the strict parser

  Scenario Outline: Known request smuggling attacks are rejected
    When the server receives <attack>
    Then no call reaches a handler and the connection is closed

    Examples:
      | attack                            |
      | a length and chunked coding       |
      | two different lengths             |
      | two equal lengths                 |
      | a signed length                   |
      | an unknown transfer coding        |
      | chunked coding twice              |
      | a space before the colon          |
      | a folded header                   |
      | a bare line feed                  |
      | a null byte in a header           |
      | a chunk size with a sign          |
      | a chunk without its line end      |
      | an absolute target                |
