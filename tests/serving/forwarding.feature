Feature: Calls of a VM without paths to runners are run by other VMs

  Scenario: A call at an isolated VM is answered by a helper's runner
    Given an isolated VM and 1 other VM
    And a route for idempotent calls
    And a runner that answers
    When a call is made
    Then the status is 200 with "from runner-1"
    And runners ran 1 calls
    And runner 1 received the customer "clerks" and the call's own id

  Scenario: A stream at an isolated VM comes from a helper's runner
    Given an isolated VM and 1 other VM
    And a route for streams
    And a runner that streams
    When a call is made
    Then the stream has events 1 to 6 and is complete

  # Guards against a helper that keeps events until the stream has ended.
  Scenario: An event is passed on before the next one comes
    Given an isolated VM and 1 other VM
    And a route for streams
    And a runner that streams one event and hangs
    When a call is made whose caller waits for the first event
    Then it comes within 0.5 seconds

  Scenario: A runner's error is passed on with its status
    Given an isolated VM and 1 other VM
    And a route for non-idempotent calls
    And a runner that fails
    When a call is made
    Then the status is 500 with "broken"
    And runners ran 1 calls

  Scenario: A large body is forwarded
    Given an isolated VM and 1 other VM
    And a route for idempotent calls
    And a runner that returns the length of the body
    When a call is made with the longest body that callers may send
    Then the status is 200 with "4194304"

  Scenario: Connections to helpers are kept
    Given an isolated VM and 1 other VM
    And a route for idempotent calls
    And a runner that answers
    When 5 calls are made
    Then all responses have status 200
    And 1 connection was opened to VM 2

  # Guards against a customer that is charged twice, or whose usage is, because
  # two VMs have handled its call.
  Scenario: Usage, request and permit count once
    Given an isolated VM and 1 other VM
    And a route for idempotent calls
    And a runner that answers
    When a call is made
    Then VM 1 has counted 0 requests, usage 0 and 1 units
    And VM 2 has counted 1 requests, usage 1 and 0 units

  # Guards against the API key of a customer on its way to other VMs.
  Scenario: The API key is not sent on
    Given an isolated VM and 0 other VMs
    And a route for idempotent calls
    And a helper that answers
    When a call is made
    Then the status is 200 with "from helper-1"
    And helper 1 was not told the key

  # Guards against a call that two VMs send back and forth.
  Scenario: A helper never forwards a call
    Given an isolated VM and 2 other VMs
    And a route for idempotent calls with a timeout of 2 seconds
    And the other VMs lose their paths to runners after their records
    When a call is made
    Then the status is 503 with a time to come back
    And VM 2 and VM 3 were sent 2 calls and forwarded none

  Scenario: Without any helper a call is refused at once
    Given an isolated VM and 0 other VMs
    And a route for idempotent calls with a timeout of 4 seconds
    And a runner that answers
    When a call is made
    Then the status is 503 with a time to come back
    And the answer took less than 0.2 seconds
    And no runner ran a call

  # Guards against a call that runs twice, because a helper that has ended may
  # have sent it to a runner.
  Scenario Outline: A non-idempotent call is not forwarded again
    Given an isolated VM and 1 other VM
    And a route for non-idempotent calls with a timeout of 1 seconds
    And a runner that answers
    And a helper that <fault>
    When a call is made
    Then the status is <status>
    And no runner ran a call

    Examples:
      | fault                                   | status |
      | resets                                  | 502    |
      | ends                                    | 502    |
      | hangs                                   | 504    |
      | babbles                                 | 502    |
      | sends an unsigned response              | 502    |
      | resets within a response without length | 502    |
      | ends a response without length          | 502    |

  Scenario Outline: An idempotent call is forwarded to another helper
    Given an isolated VM and 1 other VM
    And a route for idempotent calls with a timeout of 4 seconds
    And a runner that answers
    And a helper that <fault>
    When a call is made
    Then the status is 200 with "from runner-1"

    Examples:
      | fault                                   |
      | resets                                  |
      | ends                                    |
      | hangs                                   |
      | babbles                                 |
      | sends an unsigned response              |
      | resets within a response without length |
      | ends a response without length          |

  Scenario: A call is forwarded elsewhere if a helper can't be connected to
    Given an isolated VM and 1 other VM
    And a route for non-idempotent calls
    And a runner that answers
    And a helper that does not listen
    When a call is made
    Then the status is 200 with "from runner-1"

  Scenario Outline: A call goes elsewhere if a helper turns it away
    Given an isolated VM and 2 other VMs
    And a route for non-idempotent calls
    And a runner that answers
    And VM 2 <state>
    When 4 calls are made
    Then all responses have status 200
    And runners ran 4 calls

    Examples:
      | state                        |
      | has no room                  |
      | is late with its own work    |
      | leaves                       |
      | is isolated                  |
      | lacks new connections        |
      | reaches none and suspects it |
      | has no configuration         |
      | does not know the route      |
      | does not know the customer   |
      | has a route of another kind  |
      | is of an older build         |

  # Guards against a promise that gets lost between two VMs.
  Scenario Outline: A helper that turns a call away has not run it
    Given an isolated VM and 1 other VM
    And a route for non-idempotent calls
    And a runner that answers
    And VM 2 <state>
    When 2 calls are made
    Then all responses have status 503
    And no runner ran a call
    And VM 1 has counted 0 requests, usage 0 and 0 units

    Examples:
      | state                   |
      | has no room             |
      | does not know the route |

  Scenario: Runners that turn a call away have not run it
    Given an isolated VM and 2 other VMs
    And a route for non-idempotent calls
    And a runner that rejects calls
    When 2 calls are made
    Then all responses have status 503
    And no runner ran a call
    And VM 2 and VM 3 were sent 2 calls and forwarded none
    And VM 1 has counted 0 requests, usage 0 and 0 units

  Scenario: A runner that breaks off at a helper may have run the call
    Given an isolated VM and 2 other VMs
    And a route for non-idempotent calls
    And a runner that resets
    When a call is made
    Then the status is 502
    And runners ran 1 calls

  # Guards against a caller that never learns of the end of its time.
  Scenario: A call that a helper's runner doesn't answer ends in time
    Given an isolated VM and 1 other VM
    And a route for non-idempotent calls with a timeout of 1 seconds
    And a runner that hangs
    When a call is made
    Then the status is 504
    And the answer took less than 1.3 seconds
    And runner 1 was given less than 1 seconds

  Scenario Outline: A stream is resumed at another helper without a gap
    Given an isolated VM and 1 other VM
    And a route for resumable streams with 3 attempts
    And a runner that streams
    And a helper that <fault>
    When a call is made
    Then the stream has events 1 to 6 and is complete
    And runners ran 1 calls

    Examples:
      | fault                                     |
      | streams half and resets                   |
      | streams half without length and ends      |
      | streams half and resumes with 500         |

  Scenario: A stream whose runner breaks off is resumed by the helper
    Given an isolated VM and 1 other VM
    And a route for resumable streams with 3 attempts
    And a runner that streams half and resets, then streams
    When a call is made and a runner that streams joins after it was sent
    Then the stream has events 1 to 6 and is complete
    And VM 1 has counted 0 requests, usage 0 and 1 units
    And VM 2 has counted 1 requests, usage 1 and 0 units

  # Guards against a stream joined of two versions by two helpers.
  Scenario: A stream goes on at another helper at the version that began it
    Given an isolated VM and 1 other VM
    And a route for resumable streams with 3 attempts
    And helped runners v2 v2 v2 v1 v2
    And a helper with a runner of v1 streams half and resets
    When a call is made
    Then the stream has events 1 to 6 and is complete
    And only runners of version v1 ran it

  # Guards against the same if a helper can't tell the version.
  Scenario: A stream ends if the helper that began it tells no version
    Given an isolated VM and 1 other VM
    And a route for resumable streams with 3 attempts
    And helped runners v2 v1
    And a helper that streams half and resets
    When a call is made
    Then the stream has events 1 to 3 and is not complete

  # Guards against an incomplete stream that looks complete, because the second
  # helper passes on an error instead of the rest.
  Scenario: An error at the second helper's runner does not end a stream
    Given an isolated VM and 1 other VM
    And a route for resumable streams with 2 attempts
    And a runner that fails
    And a helper that streams half and resets
    When a call is made
    Then the stream has events 1 to 3 and is not complete

  Scenario: A stream that must not be resumed is aborted
    Given an isolated VM and 1 other VM
    And a route for streams
    And a runner that streams
    And a helper that streams half and resets
    When a call is made
    Then the stream has events 1 to 3 and is not complete
    And no runner ran a call

  # Guards against a repeated or missing event from a helper that is at fault.
  Scenario: A stream with a missing event is aborted before the gap
    Given an isolated VM and 0 other VMs
    And a route for streams
    And a helper that omits a later event
    When a call is made
    Then the stream has events 1 to 5 and is not complete

  Scenario: The number of attempts counts over all VMs
    Given an isolated VM and 1 other VM
    And a route for resumable streams with 1 attempts
    And a runner that streams
    And a helper that streams half and resets
    When a call is made
    Then the stream has events 1 to 3 and is not complete
    And no runner ran a call

  Scenario: The second helper takes the retry from its budget
    Given an isolated VM and 1 other VM
    And a route for idempotent calls with 3 attempts
    And a runner that answers
    And a helper that resets
    When a call is made
    Then the status is 200 with "from runner-1"
    And VM 2 has counted 1 retries

  # Guards against runners that go on working for callers that have gone.
  Scenario: The helper cancels the run of a caller that has gone
    Given an isolated VM and 1 other VM
    And a route for idempotent calls
    And a runner that hangs
    When a caller makes a call and disconnects
    Then the connection to runner 1 was closed

  Scenario: A call that reaches no runner is forwarded once
    Given a VM that is cut from all runners and 1 other VM
    And a route for non-idempotent calls
    And a runner that answers
    And a runner that answers
    When a call is made
    Then the status is 200
    And runners ran 1 calls

  Scenario: A call that reaches no runner is refused as before without helper
    Given a VM that is cut from all runners and 0 other VMs
    And a route for non-idempotent calls
    And a runner that answers
    When a call is made
    Then the status is 503 with a time to come back
    And no runner ran a call

  Scenario: A runner's rejection is no reason to forward a call
    Given a VM that reaches runners and 1 other VM
    And a route for non-idempotent calls
    And a runner that rejects calls
    When a call is made
    Then the status is 503 with a time to come back
    And VM 2 was sent 0 calls

  Scenario: A VM that is connected again sends calls to runners itself
    Given a VM that reaches runners and 1 other VM
    And a route for resumable streams with 3 attempts
    And a runner that streams
    And a helper that streams half and resets
    When a stream is begun by a helper and goes on after the isolation
    Then the stream has events 1 to 6 and is complete
    And VM 2 was sent 0 calls

  Scenario Outline: A malformed forwarded call is refused and logged
    Given an isolated VM and 1 other VM
    And a route for idempotent calls
    When VM 2 is sent <what> as a forwarded call
    Then it answers 400 and logs that it refused a peer

    Examples:
      | what                         |
      | no msgpack                   |
      | a map                        |
      | a record that is too short   |
      | a header with a line break   |
      | a target with a line break   |
      | a negative time              |

  Scenario: Bytes to other data centres are counted
    Given an isolated VM and 1 other VM
    And a route for idempotent calls
    And a runner that answers
    And the other VMs are in another data centre
    When a call is made
    Then VM 1 has counted bytes to other data centres

  # Guards against a stream that is cut off, because its helper takes itself
  # for idle and ends.
  Scenario: A helper that leaves finishes the calls that it runs
    Given an isolated VM and 1 other VM
    And a route for idempotent calls
    And a runner that answers late
    When a call is made and its helper VM 2 begins to leave
    Then the status is 200 with "from runner-1"
    And VM 2 was busy with 1 call until then

  Scenario: Results of forwarded calls are counted
    Given an isolated VM and 1 other VM
    And a route for idempotent calls
    And a runner that answers
    When 2 calls are made
    Then the metrics of VM 1 have forwarded_calls_total{result="answered"} 2
    And the metrics of VM 2 have helped_calls_total{result="served"} 2

  # Guards against a second for each call that opens connections in vain, while
  # open ones live on.
  Scenario: A VM without new connections forwards calls that need one
    Given a VM that reaches runners and 1 other VM
    And a route for non-idempotent calls
    And a runner that answers
    When a call is made
    And new connections of VM 1 hang and 3 calls are made at once
    Then all responses have status 200
    And VM 2 was sent 2 calls
    And VM 1 has opened 1 connections to runners

  Scenario: A VM without new connections forwards to another helper
    Given a VM that reaches runners and 1 other VM
    And a route for non-idempotent calls
    And a runner that answers
    And a helper that does not listen
    When new connections of VM 1 hang and 1 calls are made at once
    Then all responses have status 200
    And VM 2 was sent 1 calls

  # Guards against memory that grows at two VMs with each slow caller.
  Scenario: A slow caller receives all events of a forwarded stream
    Given an isolated VM and 1 other VM
    And a route for streams
    And a runner that streams 3000 large events
    When a call is made whose caller reads nothing for 0.3 s
    Then the stream has events 1 to 3000 and is complete
    And the VM buffered at most 400000 bytes for the caller

  # Guards against refusals in the time until a VM knows that it is isolated,
  # because it takes all runners for unhealthy by then.
  Scenario Outline: A call is forwarded if all runners seem unhealthy
    Given a VM that is cut from all runners and 1 other VM
    And a route for non-idempotent calls
    And a runner that answers
    And runner 1 seems unhealthy to VM 1, which <state>
    When a call is made
    Then the status is <status>

    Examples:
      | state                 | status |
      | is connected          | 503    |
      | suspects itself       | 200    |
      | lacks new connections | 200    |
      | was refused by it     | 200    |

  Scenario: A call is not forwarded to a service without runners
    Given a VM that is cut from all runners and 1 other VM
    And a route for non-idempotent calls
    And VM 1 suspects that it lost its runners
    When a call is made
    Then the status is 503 with a time to come back
    And VM 2 was sent 0 calls

  # Guards against a call that earns retries at two VMs.
  Scenario: A call that a first helper has counted isn't counted by a second
    Given an isolated VM and 2 other VMs
    And a route for idempotent calls
    And a runner that answers
    And VM 2 reaches none and suspects it
    And VM 3 reaches none and suspects it
    When a call is made
    Then the VMs have counted 1 request in all

  # Guards against calls that fail in the first moments of a cut, because the
  # helper has lost its paths as well and no record says so yet.
  Scenario: A call that reached no runner goes on to a second helper
    Given a VM that is cut from all runners and 2 other VMs
    And a route for non-idempotent calls
    And a runner that answers
    And VM 1 suspects that it lost its runners
    And VM 2 reaches none and suspects it
    When 4 calls are made
    Then all responses have status 200
    And VM 3 was sent 4 calls

  # Guards against a stream that is lost with its runner's connection, although
  # another VM could have it resumed.
  Scenario: A stream whose connection was reset goes on at a helper
    Given a VM that is cut from all runners and 1 other VM
    And a route for resumable streams with 3 attempts
    And a runner that streams half and resets, then streams
    And a runner that streams
    And only runner 1 is reached by VM 1, which suspects itself
    When a call is made
    Then the stream has events 1 to 6 and is complete
    And runners ran 2 calls

  # Guards against a log that blames other VMs for a service without runners.
  Scenario: A call that no helper takes is refused with its own reason
    Given a VM that is cut from all runners and 1 other VM
    And a route for non-idempotent calls
    And a runner that answers
    And VM 2 has no room
    When a call is made
    Then the status is 503 with a time to come back
    And VM 1 has refused a call for no_runner

  # Guards against calls that no VM runs, because a helper is left alone after
  # it could not run calls of a service whose runners are down.
  Scenario Outline: A refusal of one call keeps no other call away
    Given an isolated VM and 1 other VM
    And a route for non-idempotent calls
    And a runner that answers
    And VM 2 <state>
    When a call is made
    Then the status is 503 with a time to come back
    When VM 2 recovers and a call is made
    Then the status is 200

    Examples:
      | state                        |
      | reaches none and suspects it |
      | does not know the route      |

  # Guards against a call that stays suspected of crashes at the VM that ran it.
  Scenario: Both VMs clear a call that was answered of suspicion
    Given an isolated VM and 1 other VM
    And a route for idempotent calls
    And a runner that answers
    When a call is made and the VMs that clear it are counted
    Then the status is 200
    And 2 VMs have cleared it
