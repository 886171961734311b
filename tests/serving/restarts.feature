Feature: A runner that starts again under its name holds nothing of before

  # Symptom: a caller waits until its deadline for a call of which nobody knows.
  # Events: a runner falls silent behind a cut, ends, and starts again under its
  # name; its new entry reaches the VM, whose call waits on the old connection.
  # Cause: the runner taken for the same one as long as its name is.
  Scenario Outline: Calls that wait at the incarnation before end at once
    Given a route for <kind>
    And a runner that hangs
    And a runner that <answers>
    When a call to runner 1 waits
    And runner 1 starts again at <place>
    Then the call ends with status <status> within 2 seconds
    And the call has run at <runs> runners

    Examples:
      | kind               | answers | place           | status | runs |
      | idempotent calls   | answers | another address | 200    | 2    |
      | idempotent calls   | answers | the same address | 200   | 2    |
      | resumable streams  | streams | another address | 200    | 2    |
      | non-idempotent calls | answers | another address | 502  | 1    |
      | non-idempotent calls | answers | the same address | 502 | 1    |

  Scenario: What is kept of a runner is not kept of the one that follows
    Given a route for idempotent calls
    And a runner that fails
    When a call is made
    And runner 1 starts again at the same address
    Then nothing counts against runner 1, and no connection to it is kept
    And the next call names it by its name

  # Symptom: a call that crashes runners runs at one after the other.
  # Events: each runner that it crashes is back under its name at once; its
  # entry is never removed.
  # Cause: only an entry that goes away is taken for an end.
  Scenario: That a runner starts again shows that it had ended
    Given a watch on crashes
    When a call breaks off at a runner that then starts again, twice
    Then that call is kept away
