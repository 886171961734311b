Feature: A call's place in an engine's queue

  Scenario Outline: The customer goes first, then short prompts, then the route
    Then a prompt of <tokens> tokens of a customer of priority <customer> on a route of priority <route> has place <place>

    Examples:
      | customer | route | tokens | place |
      | none     | 0     | 9000   | 0     |
      | none     | 1     | 9000   | 1     |
      | none     | 2     | 9000   | 2     |
      | none     | 7     | 9000   | 2     |
      | none     | 2     | 700    | 0     |
      | 1        | 2     | 700    | 3     |
      | 1        | 1     | 9000   | 4     |
      | 0        | 2     | 1999   | 0     |
      | 0        | 2     | 2000   | 2     |
      | 5        | 1     | 9000   | 9     |

  # Symptom: a tenth of short chats begin late on runners that are half idle.
  # Events: a chat of 700 tokens comes to an engine a moment after a mandate
  # of 15,000, which takes 0.4 s to read, the whole objective of the chat.
  # Cause: the chat's route is the least urgent, so it is read last.
  Scenario: Short prompts no longer wait for long ones
    When an engine reads prompts of 700 and of 9000 tokens for 2000 seconds, 0.55 busy
    Then short prompts are late at most half as often as by the route alone
    And the long ones wait at most 0.1 longer on the mean

  Scenario: Long prompts are not starved by many short ones
    When an engine reads prompts of 700 and of 9000 tokens for 2000 seconds, 0.85 busy
    Then the long ones wait at most 0.3 longer on the mean
