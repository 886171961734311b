Feature: Relaying calls through an entry VM

  Scenario: A runner's response reaches the caller unchanged
    Given a route for idempotent calls
    And a runner that answers
    When a call is made
    Then the status is 200 with "from runner-1"
    And runner 1 received the customer "clerks" and the call's own id

  Scenario: Pipelined calls on one connection are answered in order
    Given a route for idempotent calls
    And a runner that answers
    When 3 pipelined calls are sent on one connection
    Then 3 responses with status 200 arrive in order

  Scenario: Calls are refused without a configuration
    Given a runner that answers
    When a call is made
    Then the status is 503 with a time to come back
    And no runner ran a call

  Scenario Outline: Calls that the configuration does not allow are refused
    Given a route for idempotent calls
    And a runner that answers
    When a call with <what> is made
    Then the status is <status>
    And no runner ran a call

    Examples:
      | what           | status |
      | an unknown key | 401    |
      | another path   | 404    |

  Scenario: A customer over its limit is told when to come back
    Given a route for idempotent calls with 1 call in 10 seconds
    And a runner that answers
    When 2 calls are made
    Then the status is 429 with a time to come back

  # Guards against hashing the bodies of customers without a limit, and against
  # an effect of a part that is off.
  Scenario Outline: A call is described to the keeper of a limit, if there is one
    Given a route for idempotent calls with <limit>
    And mode <mode> of the retry times
    And a runner that answers
    When 2 calls are made
    Then <hashes> hashes of calls are computed, and the refusal names <named>

    Examples:
      | limit                | mode    | hashes | named  |
      | 1 call in 10 seconds | on      | 2      | a hash |
      | 1 call in 10 seconds | observe | 2      | a hash |
      | 1 call in 10 seconds | off     | 0      | none   |
      | no limit             | on      | 0      | none   |

  # Guards against a non-idempotent call that runs twice, because it is sent to
  # another runner after its connection broke before the response, although
  # the first runner may have run it.
  Scenario Outline: Only idempotent calls are repeated if they may have run
    Given a route for <kind> calls
    And a runner that <fault>
    And a runner that <fault>
    When a call is made
    Then the status is 502
    And runners ran <runs> calls

    Examples:
      | kind           | fault                                   | runs |
      | non-idempotent | resets                                  | 1    |
      | non-idempotent | babbles                                 | 1    |
      | non-idempotent | sends an unsigned response              | 1    |
      | non-idempotent | resets within a response without length | 1    |
      | idempotent     | resets                                  | 2    |

  Scenario: An idempotent call is retried after an error response
    Given a route for idempotent calls
    And a runner that fails, then answers
    And a runner that fails, then answers
    When a call is made
    Then the status is 500
    And runners ran 2 calls

  Scenario: An error response to a non-idempotent call is forwarded
    Given a route for non-idempotent calls
    And a runner that fails
    When a call is made
    Then the status is 500
    And runners ran 1 calls

  Scenario: A call that a runner rejects is sent to another one
    Given a route for non-idempotent calls
    And a runner that rejects calls
    And a runner that answers
    When 4 calls are made
    Then all responses have status 200
    And runners ran 4 calls

  Scenario: A call that all runners reject is refused and has not run
    Given a route for non-idempotent calls
    And a runner that rejects calls
    And a runner that rejects calls
    When a call is made
    Then the status is 503 with a time to come back
    And no runner ran a call

  # Guards against a call that runs at another service, when a runner ends and
  # its address is reused before the directory is updated, because a runner is
  # identified by its address alone.
  Scenario: A runner whose address is reused is removed from the directory
    Given a route for non-idempotent calls
    And a runner that is another runner
    And a runner that answers
    When 4 calls are made
    Then all responses have status 200
    And runner 1 is removed from the directory if it received a call

  # Guards against another caller's response, when a late response to an earlier
  # call arrives on the connection on which the next call waits and responses
  # are matched by their order alone.
  Scenario: A response to another call is skipped
    Given a route for non-idempotent calls
    And a runner that answers an earlier call first
    When a call is made
    Then the status is 200 with "for you"

  # Guards against another caller's response, when a runner sends a response
  # twice and its idle connection is reused although unexpected bytes have
  # arrived on it.
  Scenario: A connection with unexpected bytes is not reused
    Given a route for idempotent calls
    And a runner that answers twice
    When 3 calls are made
    Then all responses have status 200
    And runner 1 had 3 connections

  Scenario: A connection is reused after a complete response
    Given a route for idempotent calls
    And a runner that answers
    When 3 calls are made
    Then all responses have status 200
    And runner 1 had 1 connections

  Scenario: A response without length that ends by a close is complete
    Given a route for idempotent calls
    And a runner that ends a response without length
    When a call is made
    Then the status is 200 with "all of it"

  # Guards against half a response passed on as a whole one, because the end of
  # a runner's process closes its connections like the end of a response.
  Scenario Outline: A response without length is not whole if its runner ended
    Given a route for <kind> calls
    And a runner that begins a response without length and ends
    When a call is made
    Then the status is 502

    Examples:
      | kind           |
      | idempotent     |
      | non-idempotent |

  Scenario: A runner that refuses connections is skipped
    Given a route for non-idempotent calls
    And a runner that does not listen
    And a runner that answers
    When 4 calls are made
    Then all responses have status 200
    And runners ran 4 calls

  # Guards against calls that are refused while a runner is free, because three
  # crashed runners are tried first.
  Scenario Outline: Unreachable runners do not use up a call's attempts
    Given the mode of priorities is <mode>
    And a route for non-idempotent calls
    And 8 runners that do not listen
    And a runner that answers
    When 6 calls are made
    Then <served> of the calls have status 200 and the others 503
    And <reported> runners are reported, and <open> are avoided at once

    Examples:
      | mode    | served | reported | open |
      | on      | 6      | some     | all  |
      | observe | 4      | some     | none |
      | off     | 4      | no       | none |

  # Guards against a call to a hanging runner that waits for the caller's own
  # deadline, because the entry VM does not enforce the route's timeout.
  Scenario: A call ends at the route's timeout
    Given a route for non-idempotent calls with a timeout of 0.2 seconds
    And a runner that hangs
    When a call is made
    Then the status is 504
    And the connection to runner 1 was closed

  # Guards against runners that are busy with abandoned calls, because a
  # caller's disconnect is noticed only when the response is written.
  Scenario: A caller's disconnect cancels its call
    Given a route for idempotent calls
    And a runner that hangs
    When a caller makes a call and disconnects
    Then the connection to runner 1 was closed

  # Guards against a call that counts as possibly run, although the head of the
  # response promised that it has not run, because the runner reset the
  # connection before the end of the body.
  Scenario: A rejection holds even if the rest of the response is lost
    Given a route for non-idempotent calls
    And a runner that rejects calls and resets
    And a runner that answers
    When 4 calls are made
    Then all responses have status 200
    And runners ran 4 calls

  # Guards against a runner that permanently hangs on a part of its calls and
  # still counts as healthy, because calls that time out are not counted as
  # failures.
  Scenario: A call that times out without a response counts as a failure
    Given a route for non-idempotent calls with a timeout of 0.2 seconds
    And a runner that hangs
    When a call is made
    Then the status is 504
    And the failure is counted for runner 1

  # Guards against a call that crashes all runners of a service one by one as
  # its caller retries it, because no VM records which calls ran on a runner
  # that ended.
  Scenario Outline: A call that crashed two runners does not reach a third
    Given a route for <kind>
    And 4 runners that crash
    When 5 calls are made one after the other
    Then the last status is 503 with a time to come back
    And runners ran 2 calls

    Examples:
      | kind                 |
      | non-idempotent calls |
      | idempotent calls     |
      | resumable streams    |

  Scenario: A call is not blocked when its runner resets but does not end
    Given a route for non-idempotent calls
    And a runner that resets, then resets, then answers
    When 3 calls are made one after the other
    Then the status is 200 with "from runner-1"

  # Guards against a new customer that exceeds its limit, because a peer's total
  # that arrived before the limit is configured and does not change afterwards
  # is ignored.
  Scenario: Units that a peer admitted before the limit is known are counted
    Given a VM whose peer reports 50 admitted units of a new customer
    When the customer's limit of 80 units is set and the peer reports the same
    Then the VM refuses 40 units and admits 20

  # Guards against the answer to one caller that another one gets: a late second
  # answer of a runner whose id is spoiled names no call.
  Scenario Outline: A late answer without an id is nobody's
    Given a route for <kind>
    And a runner that answers the call before once more, with a spoiled id
    And a runner that answers with the id of the call
    When 8 calls are made on one connection after the other
    Then each call got its own answer, or was told of a failure

    Examples:
      | kind                 |
      | idempotent calls     |
      | non-idempotent calls |
