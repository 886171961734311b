Feature: What callers may send

  Scenario Outline: Malformed and oversized calls are refused and run nowhere
    Given a route for idempotent calls with small limits
    And a runner that answers
    When a caller sends <bytes>
    Then the status is <status>
    And no runner ran a call

    Examples:
      | bytes                         | status |
      | no HTTP                       | 400    |
      | two lengths                   | 400    |
      | a length and chunks           | 400    |
      | a head that is too long       | 431    |
      | a body that is too long       | 413    |
      | chunks that are too long      | 413    |
      | half a head and waits         | 408    |

  Scenario: A body in chunks reaches the runner whole
    Given a route for idempotent calls
    And a runner that answers
    When a caller sends a body in chunks
    Then the status is 200
    And runner 1 read the body "hello world"

  Scenario: A VM that leaves says so on the last answer
    Given a route for idempotent calls
    And a runner that answers
    When the VM leaves while a call is made
    Then the status is 200
    And the connection is closed after it
