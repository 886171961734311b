Feature: Duties that one VM performs for the fleet

  Scenario: One of two VMs acquires the lease and keeps it
    Given 2 VMs that contend for a duty
    When the contest goes on for 30 seconds
    Then the same VM held the lease all the time

  # Guards against a holder that changes every few seconds: a store that
  # ignores writes without a change keeps the revision, by which contenders
  # recognize renewals, so that they take over when the lease expires.
  Scenario: Each renewal changes the stored object
    Given 2 VMs that contend for a duty
    When the contest goes on for 20 seconds
    Then the store has written the lease at least 5 times

  Scenario: The other VM takes over with a higher number when one falls silent
    Given 2 VMs that contend for a duty
    And the contest goes on for 10 seconds
    When the holder falls silent and 12 seconds pass
    Then the other VM holds the lease with a higher number

  # Guards against 8.8 s without a holder: contenders read the lease only every
  # 4.5 s, here just before the last renewal. They would notice this renewal
  # when the lease expires, and wait for its duration once more.
  Scenario Outline: The lease of a silent holder expires after its last renewal
    Given 2 VMs that contend for a duty
    And the contest goes on for <seconds> seconds
    When the holder falls silent and 5 seconds pass
    Then the other VM holds the lease with a higher number
    And no two VMs held the lease at the same time

    Examples:
      | seconds |
      | 10      |
      | 11      |
      | 12      |
      | 13      |

  # Guards against 12 s without a holder: the holder freezes just after a
  # renewal, and a VM contends only once the holder counts as failed, two
  # seconds later. It must have recorded the announced renewals before that.
  Scenario: A VM that starts to contend knows the last announced renewal
    Given 5 VMs that contend for a duty, of which each is heard for 2.4 seconds after its end
    And the contest goes on for 5 seconds
    When the holder and the other contender fall silent
    And the contest goes on for 12 seconds
    Then another VM holds the lease at most 5 seconds after the last renewal

  # Guards against an order with an outdated fencing number: on a platform that
  # does not check it, the first order of the next holder may overtake an order
  # that was in flight when the previous holder surrendered the lease.
  Scenario Outline: Without checks of fencing numbers the last call is waited for
    Given 3 VMs that contend for a duty, on a platform that checks <what>
    And the contest goes on for 10 seconds
    When the holder alone is cut off from the store for 12 seconds
    Then at least <least> seconds lie between the two holders' leases
    And no two VMs held the lease at the same time

    Examples:
      | what       | least |
      | nothing    | 1.4   |
      | the number | 0.0   |

  # Guards against two holders for 1.4 s: the holder restarts, another VM gets
  # the lease, and a third one learns of both at once. It must not take the new
  # process for one of the new holder, whose lease would seem to have ended.
  Scenario: A new process of the previous holder does not end the next lease
    Given a VM that has read the lease of vm-1
    When it learns in one update that vm-2 holds the lease and that vm-1 has a new process
    Then it does not acquire the lease of vm-2 for 4 seconds

  Scenario: The first holder does not wait for a previous one
    Given 3 VMs that contend for a duty, on a platform that checks nothing
    When the contest goes on for 1 seconds
    Then a VM holds the lease

  # Guards against a call after the lease has expired: the lease must be
  # checked again once the connection to the cloud is open.
  Scenario: A call whose lease expires before it can be sent is not sent
    Given a cloud that records what it receives
    When a holder calls it whose lease expires while the connection opens
    Then the call failed, and the cloud received nothing

  # Guards against orders based on a seventh of the work: the holder is cut off
  # from its peers but reaches the platform.
  Scenario: A holder that hears less than half of the fleet stops acting
    Given 2 VMs that contend for a duty
    And the contest goes on for 10 seconds
    When the holder hears none of 7 VMs
    Then it must not act

  # Guards against nine seconds without a holder: the holder alone is cut off
  # from the store and keeps the lease until it expires, and the other VMs wait
  # for its duration from the last renewal that they observed.
  Scenario: A holder that alone can't reach the store surrenders the lease
    Given 3 VMs that contend for a duty
    And the contest goes on for 10 seconds
    When the holder alone is cut off from the store for 8 seconds
    Then another VM held the lease at most 3.6 seconds after the cut
    And no two VMs held the lease at the same time
    And the first holder does not acquire it again within 10 seconds

  # Guards against five seconds without a holder after a power loss of all VMs:
  # the lease of a process that is known to have ended must not be waited out.
  Scenario: All processes restart
    Given 3 VMs that contend for a duty
    And the contest goes on for 10 seconds
    When all processes restart
    Then a VM holds the lease within 1.0 seconds with a higher number

  Scenario: Only the holder's process restarts
    Given 3 VMs that contend for a duty
    And the contest goes on for 10 seconds
    When the holder's process restarts
    Then a VM holds the lease within 1.0 seconds with a higher number
    And no two VMs held the lease at the same time

  # Guards against 1.4 s without a holder when the holder's VM is replaced: it
  # releases the lease by a write, which the other VMs may read just too early
  # and then notice only when the lease expires.
  Scenario Outline: The holder leaves without releasing the lease in the store
    Given 3 VMs that contend for a duty
    And the contest goes on for <seconds> seconds
    When the holder leaves without reaching the store
    Then a VM holds the lease within 0.5 seconds with a higher number
    And no two VMs held the lease at the same time

    Examples:
      | seconds |
      | 11      |
      | 12      |
      | 13      |

  # While no VM reaches the store, no other VM could acquire the lease. The
  # holder's calls to other services may still succeed.
  Scenario: A holder that no VM could replace keeps the lease
    Given 3 VMs that contend for a duty
    And the contest goes on for 30 seconds
    When all are cut off from the store for 3 seconds
    Then the same VM held the lease all the time

  Scenario: A window is reported once, with the counts fixed in the store
    Given a holder of the usage duty that counted 7 calls in a window
    When 20 seconds pass at the holder
    Then the window was reported as 7 calls, once
    And the store has the same counts

  # Guards against two reports of one window with different counts: the first
  # holder's process is lost after its report, and the next holder has received
  # other counts in the meantime.
  Scenario: The next holder reports the counts fixed by the first
    Given a holder of the usage duty that counted 7 calls in a window
    And the store already has 5 calls for that window
    When 20 seconds pass at the holder
    Then the window was reported as 5 calls, once

  Scenario: A report is sent again while the cloud is busy
    Given a holder of the usage duty that counted 7 calls in a window
    And the cloud is busy for 3 calls
    When 20 seconds pass at the holder
    Then the window was reported as 7 calls, once

  Scenario: After a lost answer of the store the counts are read back
    Given a holder of the usage duty that counted 7 calls in a window
    And the store loses answers of writes that take effect
    When 20 seconds pass at the holder
    Then the window was reported as 7 calls, once

  Scenario: Counts of ended processes are read from the checkpoint
    Given a holder of the usage duty that counted 7 calls in a window
    And the checkpoint has 3 calls of an ended process
    When 20 seconds pass at the holder
    Then the window was reported as 10 calls, once

  # Guards against refused calls within a customer's limit after a power loss:
  # the restarted processes must know what was left of the limits.
  Scenario Outline: What is left of the limits survives a restart of all processes
    Given a holder of the usage duty that counted 7 calls in a window
    When 20 seconds pass at the holder
    Then a process that starts <seconds> seconds later reads <units> units left

    Examples:
      | seconds | units |
      | 1       | 70    |
      | 40      | 0     |

  # Guards against 4.6 s without a holder at the start of a deployment: a lease
  # object that was never written must not count as lost.
  Scenario: The first lease in a durable store is acquired at once
    Given 2 VMs that contend for a duty
    When the contest goes on for 1 seconds
    Then a VM holds the lease

  Scenario: Where the store may lose writes, a missing lease is waited out
    Given 2 VMs that contend for a duty in a store that may lose writes
    When the contest goes on for 4 seconds
    Then no VM holds the lease
    When the contest goes on for 1 seconds
    Then a VM holds the lease
