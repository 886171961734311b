Feature: The way of a call through an entry VM

  Scenario: A call is answered by a runner, byte by byte
    Given a route for idempotent calls
    And a runner that answers
    When a call is made
    Then the status is 200 with "from runner-1"
    And runner 1 saw the customer "clerks" and the call's own id

  Scenario: Calls on one connection are answered in order
    Given a route for idempotent calls
    And a runner that answers
    When 3 calls are sent at once on one connection
    Then 3 answers with status 200 come in their order

  Scenario: No configuration yet
    Given a runner that answers
    When a call is made
    Then the status is 503 with a time to come back
    And no runner ran a call

  Scenario Outline: What the configuration does not allow
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

  # Symptom: a record is registered twice.
  # Events: the runner takes the call, its connection breaks before the
  # answer, and the call is sent to another runner.
  # Cause: a broken connection taken for a call that has not run.
  Scenario Outline: A call that may have run is not repeated unless it may be
    Given a route for <kind> calls
    And a runner that <fault>
    And a runner that <fault>
    When a call is made
    Then the status is 502
    And runners ran <runs> calls

    Examples:
      | kind           | fault                               | runs |
      | non-idempotent | resets                              | 1    |
      | non-idempotent | babbles                             | 1    |
      | non-idempotent | answers unsigned                    | 1    |
      | non-idempotent | breaks off an answer without length | 1    |
      | idempotent     | resets                              | 2    |

  Scenario: A runner's failure is tried once more where it may be
    Given a route for idempotent calls
    And a runner that fails, then answers
    And a runner that fails, then answers
    When a call is made
    Then the status is 500
    And runners ran 2 calls

  Scenario: A runner's failure is passed on where it may not be repeated
    Given a route for non-idempotent calls
    And a runner that fails
    When a call is made
    Then the status is 500
    And runners ran 1 calls

  Scenario: A call that a runner turns away goes to another
    Given a route for non-idempotent calls
    And a runner that turns away
    And a runner that answers
    When 4 calls are made
    Then all answers are 200
    And runners ran 4 calls

  Scenario: A call that all runners turn away is refused, and has not run
    Given a route for non-idempotent calls
    And a runner that turns away
    And a runner that turns away
    When a call is made
    Then the status is 503 with a time to come back
    And no runner ran a call

  # Symptom: a call runs at a service to which no route leads.
  # Events: a runner ends, and its address goes to a runner of another service
  # before the list says so.
  # Cause: a runner known by its address alone.
  Scenario: Another runner at the address turns the call away for good
    Given a route for non-idempotent calls
    And a runner that is another runner
    And a runner that answers
    When 4 calls are made
    Then all answers are 200
    And runner 1 is no longer known, if it was asked

  # Symptom: a caller gets somebody else's answer.
  # Events: a runner's answer to a former call comes late, on the connection
  # on which the next call waits.
  # Cause: answers matched by their order alone.
  Scenario: An answer to another call is skipped
    Given a route for non-idempotent calls
    And a runner that answers a former call first
    When a call is made
    Then the status is 200 with "for you"

  # Symptom: as above.
  # Events: the runner sends its answer twice; the second one lies on the kept
  # connection when the next call is sent there.
  # Cause: a connection used again although bytes had come unasked.
  Scenario: A connection with unasked bytes is not used again
    Given a route for idempotent calls
    And a runner that answers twice
    When 3 calls are made
    Then all answers are 200
    And runner 1 had 3 connections

  Scenario: A clean connection is used again
    Given a route for idempotent calls
    And a runner that answers
    When 3 calls are made
    Then all answers are 200
    And runner 1 had 1 connections

  Scenario: An answer without length that ends cleanly is whole
    Given a route for idempotent calls
    And a runner that ends an answer without length
    When a call is made
    Then the status is 200 with "all of it"

  Scenario: A runner that nobody listens for is passed over
    Given a route for non-idempotent calls
    And a runner that is not there
    And a runner that answers
    When 4 calls are made
    Then all answers are 200
    And runners ran 4 calls

  # Symptom: callers wait long after the time that the operators set.
  # Events: a runner hangs; the call waits for the caller's own deadline.
  # Cause: the route's timeout not kept by the entry VM.
  Scenario: A call gets its final answer at the route's timeout
    Given a route for non-idempotent calls with a timeout of 0.2 seconds
    And a runner that hangs
    When a call is made
    Then the status is 504
    And runner 1 has seen its caller close

  # Symptom: runners are busy with calls that nobody waits for.
  # Events: callers close their connections while their calls run.
  # Cause: the close noticed only when the answer is written.
  Scenario: A caller that leaves stops its call
    Given a route for idempotent calls
    And a runner that hangs
    When a caller makes a call and leaves
    Then runner 1 has seen its caller close

  # Symptom: as with any lost promise, a caller is told that nothing is known.
  # Events: the runner turns the call away and breaks its connection off
  # before the answer's body is over.
  # Cause: the promise in the head forgotten with the body.
  Scenario: A promise holds although the rest of its answer is lost
    Given a route for non-idempotent calls
    And a runner that turns away and resets
    And a runner that answers
    When 4 calls are made
    Then all answers are 200
    And runners ran 4 calls

  # Symptom: some calls time out, day in, day out, at one runner.
  # Events: the runner hangs on a part of its calls and answers the rest.
  # Cause: a call that is given up counted for nothing.
  Scenario: A runner that says nothing until the deadline has failed the call
    Given a route for non-idempotent calls with a timeout of 0.2 seconds
    And a runner that hangs
    When a call is made
    Then the status is 504
    And the failure counts against runner 1

  # Symptom: one call takes down all runners of a service, one after the other.
  # Events: a call crashes the runner that runs it; its caller sends it again.
  # Cause: nobody remembers what ran where a runner ended.
  Scenario Outline: A call that crashes runners reaches no third one
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

  Scenario: A call whose runners break answers off may go on
    Given a route for non-idempotent calls
    And a runner that resets, then resets, then answers
    When 3 calls are made one after the other
    Then the status is 200 with "from runner-1"

  Scenario: What others let in counts for a customer that came later
    Symptom: a new customer goes over its limit by what one VM let in.
    Events: a peer's record tells the total of a customer whose limit this
    VM has not heard of; then the limit comes, and the same total again.
    Cause: a total that did not change is not looked at.
    Given the limits of a VM that hears 50 units let in for a new customer
    When the customer's limit of 80 units comes and the same is heard again
    Then 40 units are refused there and 20 are let in
