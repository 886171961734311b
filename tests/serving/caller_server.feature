Feature: Reading callers' requests

  Scenario Outline: Malformed and oversized calls are rejected and do not run
    Given a route for idempotent calls with small limits
    And a runner that answers
    When a caller sends <request>
    Then the status is <status>
    And no runner ran a call

    Examples:
      | request                       | status |
      | bytes that are not HTTP       | 400    |
      | two different lengths         | 400    |
      | a length and chunked coding   | 400    |
      | a head over the limit         | 431    |
      | a body length over the limit  | 413    |
      | a chunk over the limit        | 413    |
      | half a head and then waits    | 408    |

  Scenario: A chunked body reaches the runner complete
    Given a route for idempotent calls
    And a runner that answers
    When a caller sends a chunked body
    Then the status is 200
    And runner 1 received the body "hello world"

  Scenario: A leaving VM announces the close on its last response
    Given a route for idempotent calls
    And a runner that answers
    When the VM starts to leave while a call is in progress
    Then the status is 200
    And the connection closes after the response

  # Guards against bytes that belong to no response in the middle of one.
  Scenario: A stream isn't interrupted when the next call asks to go on
    Given a caller that reads a stream
    When it sends the head of a call that expects to be asked for its body
    And the stream ends after another event
    Then the caller gets both events, the end, and is asked for the body

  # Guards against a whole response of which a caller gets a part, as the VM
  # that stops has no more calls to answer.
  Scenario: A call is in progress until its caller has the response
    Given a server that answers with more than the network holds
    When a caller doesn't read until its call is answered
    Then its connection is busy
    And is no longer busy once the caller has read the whole response
