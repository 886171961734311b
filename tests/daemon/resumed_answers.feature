Feature: A model answer whose runner breaks off is resumed at another runner

  # Guards against an error of the runner that is to resume an answer, which
  # ends the answer though a third runner could go on with it.
  Scenario Outline: Whatever answers a resumption, the caller gets each token once
    Given a runner that breaks off after 3 tokens of 6
    And a runner that resumes the answer with <answer>
    And a runner that resumes the answer with the rest
    When the answer is read
    Then the caller gets the tokens 0 to 5 and the answer is done

    Examples:
      | answer                   |
      | status 400               |
      | status 404               |
      | status 409               |
      | status 413               |
      | status 422               |
      | status 500               |
      | status 504               |
      | an empty stream          |
      | an empty body of length 0 |
      | a body without events    |
      | the token after the next |
      | half of the next token   |
      | an event without a number |

  # Guards against tokens that count as passed on and were dropped, as a bad one
  # came in the same piece.
  Scenario Outline: The tokens before a bad one of the same piece are passed on
    Given a runner that sends 3 tokens, then <what>, in one piece
    And a runner that resumes the answer with the rest
    When the answer is read
    Then the caller gets the tokens 0 to 5 and the answer is done

    Examples:
      | what                       |
      | a missing token            |
      | a token without a number   |
      | a token with a huge number |
      | bytes without end          |

  # Guards against an answer that looks complete though its end is missing.
  Scenario Outline: An answer that nobody can go on with isn't done
    Given a runner that breaks off after 3 tokens of 6
    And a runner that resumes the answer with <answer>
    When the answer is read
    Then the caller gets the tokens 0 to 2 and the answer has failed

    Examples:
      | answer                   |
      | status 400               |
      | status 404               |
      | status 500               |
      | an empty stream          |
      | an empty body of length 0 |
      | a body without events    |

  Scenario: A request that its first runner finds malformed isn't repeated
    Given a runner that answers the request with status 400
    And a runner that resumes the answer with the rest
    When the answer is read
    Then the caller is told that its request was bad
