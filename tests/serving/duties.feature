Feature: Duties that one VM does for the fleet

  Scenario: One of two VMs holds the lease and keeps it
    Given 2 VMs that contend for a duty
    When the contest goes on for 30 seconds
    Then the same VM held it all the while

  # Symptom: the holder changes every few seconds.
  # Events: the store takes a renewal with the same value for no change; the
  # other VM sees no renewal and takes the lease when its time is over.
  # Cause: renewals seen by the revision alone.
  Scenario: Each renewal changes the stored object
    Given 2 VMs that contend for a duty
    When the contest goes on for 20 seconds
    Then the store has written the lease at least 5 times

  Scenario: The other VM takes over with a higher number when one falls silent
    Given 2 VMs that contend for a duty
    And the contest goes on for 10 seconds
    When the holder falls silent and 12 seconds pass
    Then the other VM holds it with a higher number

  # Symptom: nobody reports or orders for 8.8 s.
  # Events: the holder falls silent; the others have read the lease just before
  # its last renewal, read it when that time is over, and wait once more.
  # Cause: a contender sees renewals only when it reads, every 4.5 s.
  Scenario Outline: A holder's silence is timed from its last renewal
    Given 2 VMs that contend for a duty
    And the contest goes on for <seconds> seconds
    When the holder falls silent and 5 seconds pass
    Then the other VM holds it with a higher number
    And no two VMs held it at the same time

    Examples:
      | seconds |
      | 10      |
      | 11      |
      | 12      |
      | 13      |

  # Symptom: the cloud gets an order under a lower number than one before.
  # Events: the holder hands its duty over while an order is under way; the
  # next holder's first order overtakes it.
  # Cause: the wait for that left out, as most platforms refuse such an order.
  # Symptom: nobody orders runners or reports usage for 12 s.
  # Events: the holder is frozen just after it renewed. It counts as dead two
  # seconds later; then a VM that did not contend before does, and reads the
  # lease for the first time.
  # Cause: renewals that the holder tells were taken in by contenders only.
  Scenario: A VM that contends since the holder is silent counts from before
    Given 5 VMs that contend for a duty, of which each is heard for 2.4 seconds after its end
    And the contest goes on for 5 seconds
    When the holder and the other contender fall silent
    And the contest goes on for 12 seconds
    Then another VM holds the duty at most 5 seconds after the last renewal

  Scenario Outline: Where nobody checks the numbers the last call is waited for
    Given 3 VMs that contend for a duty, on a platform that checks <what>
    And the contest goes on for 10 seconds
    When the holder alone is cut off from the store for 12 seconds
    Then at least <least> seconds lie between the two holders' times
    And no two VMs held it at the same time

    Examples:
      | what       | least |
      | nothing    | 1.4   |
      | the number | 0.0   |

  # Symptom: two VMs order and report at the same time, for 1.4 s; the cloud gets
  # a call under a lower number than one before.
  # Events: the holder's VM loses its power and starts again; a second VM takes
  # the lease, and tells it; a third one hears of that and of the first one's new
  # process in one look, in this order.
  # Cause: the new process of the holder before taken for one of the holder that
  # has just been told of, so that this one seems to have ended.
  Scenario: A new process of the holder before ends no lease of the next one
    Given a VM that knows the lease of vm-1
    When it hears in one look that vm-2 holds the lease and that vm-1 has a new process
    Then it leaves the lease to vm-2 for 4 seconds

  Scenario: The first holder of all waits for nobody
    Given 3 VMs that contend for a duty, on a platform that checks nothing
    When the contest goes on for 1 seconds
    Then a VM holds the lease

  # Symptom: as above.
  # Events: the lease ends while the connection to the cloud opens.
  # Cause: asked for before the connection was, and not again after it.
  Scenario: A call whose lease has ended before it can be sent is not sent
    Given a cloud that notes what it is sent
    When a holder calls it whose lease ends while the connection opens
    Then the call failed, and the cloud was sent nothing

  # Symptom: runners are ordered by a seventh of the work.
  # Events: the holder is cut off from its peers but reaches the platform.
  # Cause: a holder that did not ask whom it hears.
  Scenario: A holder that hears less than half of the fleet gives up
    Given 2 VMs that contend for a duty
    And the contest goes on for 10 seconds
    When the holder hears nobody of 7
    Then it may not act

  # Symptom: nobody reports or orders for nine seconds, all others being well.
  # Events: the holder alone is cut off from the store.
  # Cause: it holds on until its time is over, and the others wait out their
  # own time from when they saw its last renewal.
  Scenario: A holder that alone can't reach the store hands its duty over
    Given 3 VMs that contend for a duty
    And the contest goes on for 10 seconds
    When the holder alone is cut off from the store for 8 seconds
    Then another VM held it at most 3.6 seconds after the cut
    And no two VMs held it at the same time
    And the first holder does not take it back within 10 seconds

  # Symptom: nobody reports or orders for five seconds after all VMs lost
  # their power, though all serve again.
  # Events: the processes end and start again; the lease names one of them.
  # Cause: the time of a holder that is known to have ended is waited out.
  Scenario: All processes start again
    Given 3 VMs that contend for a duty
    And the contest goes on for 10 seconds
    When all processes start again
    Then a VM holds it within 1.0 seconds with a higher number

  Scenario: The holder's process alone starts again
    Given 3 VMs that contend for a duty
    And the contest goes on for 10 seconds
    When the holder's process starts again
    Then a VM holds it within 1.0 seconds with a higher number
    And no two VMs held it at the same time

  # Symptom: a roll of the holder leaves the fleet without one for 1.4 s.
  # Events: it gives the lease back by a write; the others look just before
  # that, or when its time is over.
  Scenario Outline: The holder leaves, and its write comes late
    Given 3 VMs that contend for a duty
    And the contest goes on for <seconds> seconds
    When the holder leaves without reaching the store
    Then a VM holds it within 0.5 seconds with a higher number
    And no two VMs held it at the same time

    Examples:
      | seconds |
      | 11      |
      | 12      |
      | 13      |

  # While the store is away for all, nobody could take the duty over: the
  # holder's calls may well be taken elsewhere.
  Scenario: A holder that no VM could follow holds on
    Given 3 VMs that contend for a duty
    And the contest goes on for 30 seconds
    When all are cut off from the store for 3 seconds
    Then the same VM held it all the while

  Scenario: A window is reported once, after its counts are fixed
    Given a holder of the usage duty that counted 7 calls in a window
    When 20 seconds pass at the holder
    Then the window was reported as 7 calls, once
    And the store has the same counts

  # Symptom: two reports of one window with different counts.
  # Events: the first holder's report is lost with its process; the second
  # one has heard of other counts meanwhile.
  # Cause: counts that are added up anew by each holder.
  Scenario: A second holder reports the counts of the first
    Given a holder of the usage duty that counted 7 calls in a window
    And the store already has 5 calls for that window
    When 20 seconds pass at the holder
    Then the window was reported as 5 calls, once

  Scenario: A report is sent again while the cloud is busy
    Given a holder of the usage duty that counted 7 calls in a window
    And the cloud is busy for 3 calls
    When 20 seconds pass at the holder
    Then the window was reported as 7 calls, once

  Scenario: A lost answer of the store is read back
    Given a holder of the usage duty that counted 7 calls in a window
    And the store loses answers of writes that take effect
    When 20 seconds pass at the holder
    Then the window was reported as 7 calls, once

  Scenario: Counts of processes that died are read from the checkpoint
    Given a holder of the usage duty that counted 7 calls in a window
    And the checkpoint has 3 calls of a process that died
    When 20 seconds pass at the holder
    Then the window was reported as 10 calls, once

  # Symptom: calls within a customer's limit are refused after a power loss.
  # Events: all processes start anew and know nothing of what was let in.
  # Cause: what was left of the limits died with them.
  Scenario Outline: What is left of the limits outlives all processes
    Given a holder of the usage duty that counted 7 calls in a window
    When 20 seconds pass at the holder
    Then a process that starts <seconds> seconds later learns <units> left

    Examples:
      | seconds | units |
      | 1       | 70    |
      | 40      | 0     |

  # Symptom: for the first 4.6 s of a deployment nobody orders or reports.
  # Events: all VMs start; the lease was never written; its first contender
  # waits for as long as a lease lasts.
  # Cause: an object that is not there is taken for one that was lost.
  Scenario: The first lease of a durable store is taken at once
    Given 2 VMs that contend for a duty
    When the contest goes on for 1 seconds
    Then a VM holds the lease

  Scenario: Where the store may forget, a missing lease is waited out
    Given 2 VMs that contend for a duty in a store that may forget
    When the contest goes on for 4 seconds
    Then no VM holds the lease
    When the contest goes on for 1 seconds
    Then a VM holds the lease
