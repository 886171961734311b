Feature: Priority levels of calls in an engine's queue

  Scenario Outline: The customer's priority counts first, then short prompts, then the route
    Then a prompt of <tokens> tokens of a customer of priority <customer> on a route of priority <route> has level <level>

    Examples:
      | customer | route | tokens | level |
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

  # Guards against late first tokens of a tenth of short chats on half-idle
  # runners. A chat of 700 tokens waits for a prompt of 15,000 tokens on a more
  # urgent route, whose reading takes 0.4 s, the whole objective of the chat.
  Scenario: Short prompts take precedence over long ones
    When an engine reads prompts of 700 and of 9000 tokens for 2000 seconds, 0.55 busy
    Then short prompts are late at most half as often as by the route alone
    And long prompts wait at most 0.1 longer on average

  Scenario: Many short prompts do not starve long ones
    When an engine reads prompts of 700 and of 9000 tokens for 2000 seconds, 0.85 busy
    Then long prompts wait at most 0.3 longer on average

  Scenario Outline: While a service is contended, the rank counts before the size
    Given levels for customer priorities <priorities> and ranks <ranks>
    Then a prompt of <tokens> tokens, priority <priority> and rank <rank> has level <level>, and <behind> over its share

    Examples:
      | priorities  | ranks       | tokens | priority | rank | level | behind |
      | 0           | 0,1,2       | 700    | 0        | 0    | 0     | 1      |
      | 0           | 0,1,2       | 9000   | 0        | 0    | 1     | 2      |
      | 0           | 0,1,2       | 700    | 0        | 2    | 6     | 7      |
      | 0           | 0,1,2       | 9000   | none     | 1    | 4     | 5      |
      | 0           | 0,1,2,3,4   | 9000   | 0        | 4    | 9     | 9      |
      | 0,1         | 0,1,2       | 9000   | 1        | 0    | 5     | 5      |
      | 0,1         | 0,1,2,3     | 700    | 0        | 1    | 1     | 1      |
      | 0,1,2,3     | 0,1,2       | 9000   | 3        | 2    | 9     | 9      |

  # Guards against a less urgent call that passes a more urgent one.
  Scenario: No class passes a more urgent one, for any configuration
    Then levels of any configuration follow customer priority, rank and size

  # Guards against calls that change their order when contention begins, and
  # against one put behind that falls behind the next class.
  Scenario: While short prompts take few tokens, calls keep their usual order
    Then levels by size of any configuration have the order of the usual levels
