Feature: A keeper grants the slots of a service's runners

  Scenario: Slots are granted where most are free
    Given runners with 2, 4 slots
    When 6 calls ask for a slot
    Then runner 1 has 2 leases and runner 2 has 4

  # Guards against a slow runner that gets as many calls as a fast one.
  Scenario: A slow runner gets fewer calls
    Given runners with 6, 6 slots
    And runner 1 is 2.5 times slower
    When 7 calls ask for a slot
    Then runner 1 has 2 leases and runner 2 has 5

  Scenario: Of equal runners the one in the VM's data centre is granted
    Given runners with 6, 6 slots
    And runner 2 is in the data centre of the asking VMs
    When 1 calls ask for a slot
    Then runner 1 has 0 leases and runner 2 has 1

  # Guards against urgent calls that wait behind others.
  Scenario: A free slot goes to the most urgent waiting call, then to the first
    Given runners with 1 slots
    When call 1 asks with rank 0 and can wait 0.03 s
    And call 2 asks with rank 2 and can wait 0.03 s
    And call 3 asks with rank 1 and can wait 0.03 s
    And call 4 asks with rank 1 and can wait 0.03 s
    And call 1 is released
    Then the granted calls are 1, 3
    When call 3 is released
    Then the granted calls are 1, 3, 4

  # Guards against slots lost to calls whose callers have gone.
  Scenario: A call that has waited too long or was cancelled gets no slot
    Given runners with 1 slots
    When call 1 asks with rank 0 and can wait 0.03 s
    And call 2 asks with rank 0 and can wait 0.03 s
    And call 3 asks with rank 0 and can wait 0.05 s
    And call 4 asks with rank 0 and can wait 0.05 s
    And call 3 is released
    And 0.04 s pass on the ledger's clock
    And call 1 is released
    Then the granted calls are 1, 4

  Scenario: A call that cannot wait is told that there is no slot
    Given runners with 1 slots
    When call 1 asks with rank 0 and can wait 0.03 s
    And call 2 asks with rank 0 and can wait 0 s
    Then call 2 got no slot and does not wait

  # Guards against a keeper that turns all calls away while its runners hang,
  # because calls that no longer wait are counted as waiting.
  Scenario: Calls that have given up make room for others that wait
    Given runners with 1 slots
    When call 1 asks with rank 0 and can wait 0.03 s
    And 256 calls ask, wait and are cancelled
    And call 2 asks with rank 0 and can wait 0.03 s
    Then call 2 waits

  # Guards against waiting calls beside a free slot that they must not use, and
  # against a grant of a runner that the call has tried.
  Scenario: A waiting call does not get an excluded runner
    Given runners with 1, 1 slots
    When call 1 asks with rank 0 and can wait 0.03 s
    And call 2 asks with rank 0 and can wait 0.03 s
    And call 3 asks with rank 0 without runner 1
    And call 4 asks with rank 1 and can wait 0.03 s
    And the call at runner 1 is released
    Then the granted calls are 1, 2, 4

  # Guards against leases that never end, and slots that nobody can use.
  Scenario Outline: A lease ends when <cause>
    Given runners with 1 slots
    When call 1 asks with rank 0 and can wait 0.03 s
    And <event>
    And call 2 asks with rank 0 and can wait 0.03 s
    Then the granted calls are 1, 2

    Examples:
      | cause                      | event                                          |
      | it is released             | call 1 is released                             |
      | its call must have ended   | 0.9 s pass on the ledger's clock               |
      | its VM is no longer there  | its VM is no longer a member                   |
      | its release was lost       | its VM asks for call 9 and says that it ended  |
      | its runner was restarted   | the runner starts anew under its name          |

  # Guards against slots that count twice or as free too early.
  Scenario: Duplicated and late messages change nothing
    Given runners with 2 slots
    When call 1 asks with rank 0 and can wait 0.03 s
    And call 1 asks with rank 0 and can wait 0.03 s
    Then runner 1 has 1 leases
    When call 1 is released
    And call 1 is released
    Then runner 1 has 0 leases

  # Guards against calls that go on to a runner which is occupied by calls that
  # the keeper does not know.
  Scenario: A runner that rejects a call beside a free slot counts as full
    Given runners with 2, 2 slots
    When call 1 asks with rank 0 and can wait 0 s
    And the runner of call 1 rejects it
    And 3 calls ask for a slot
    Then the runner of call 1 has no lease
    When 0.06 s pass on the ledger's clock
    And call 9 asks with rank 0 and can wait 0 s
    Then the runner of call 1 has a lease

  # Guards against a ledger that takes an occupied slot for a free one, after a
  # VM has chosen a runner by itself.
  Scenario: A call that its VM sent elsewhere counts there
    Given runners with 2, 2 slots
    When call 1 asks with rank 0 and can wait 0 s
    And call 1 was sent to runner 2 instead
    Then runner 1 has 0 leases and runner 2 has 1
    When call 1 is released
    Then runner 1 has 0 leases and runner 2 has 0

  # Guards against twice the calls at a runner when its service's keeper ends.
  Scenario: A new keeper counts the calls that the VMs report for a second
    Given runners with 2, 2 slots
    And the VMs report 2 calls at runner 1 and 0 at runner 2
    When 3 calls ask for a slot
    Then runner 1 has 0 leases and runner 2 has 2
    When 1.1 s pass on the ledger's clock
    And 3 calls ask for a slot
    Then 4 slots were granted

  # Guards against counts that leak, or fall below zero and admit too much.
  Scenario: No order of events makes the counts leak
    Then after any events the counts are right, and all leases end in time
