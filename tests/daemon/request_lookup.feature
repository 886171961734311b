Feature: A caller that asks for an earlier answer learns whether it has ended

  # Guards against an answer that is told as done though its outcome is not
  # known here: its request moved, or is just ending, while it was looked up.
  Scenario Outline: Only a known outcome ends an answer
    Given a request with 2 tokens that <is> when its caller's lookup is answered
    When the caller is sent the answer
    Then the caller gets <result>

    Examples:
      | is                      | result                   |
      | has ended well          | the tokens and the end   |
      | has failed              | the tokens and an error  |
      | has moved               | that it should ask again |
      | is ending               | that it should ask again |
      | runs without its reader | that it should ask again |
