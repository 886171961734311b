Feature: Leases with fencing

  Scenario: There is one holder at a time whatever the store and the VMs do
    Then no two VMs hold a lease at once under lost answers, pauses and moves
    And no lease order takes effect after an order of a later holder

  Scenario: A naive lease has two holders and lets late orders through
    The holder is paused beyond its lease, and another VM takes over and
    orders. The naive holder then wakes up and orders too, because it checks
    the lease when it renews it and not when it orders.
    Given naive lease contenders, the holder paused for 40 s
    Then two VMs could have ordered at once under the lease
    And some lease order took effect after an order of a later holder

  Scenario: A lease checked before each order survives the same pause
    Given lease contenders, the holder paused for 40 s
    Then no two VMs could have ordered at once under the lease
    And every lease order took effect before the orders of later holders
    And another VM holds the lease

  Scenario: A renewal without an answer is read back
    A renewal took effect but its answer was lost. Without reading the object
    back, a healthy holder would give up its lease or extend it wrongly.
    Given a held lease whose renewal gets no answer
    When the lease is read and shows that the renewal took effect
    Then the lease duration is measured from before that renewal was sent

  Scenario: A renewal without effect does not extend the lease
    Given a held lease whose renewal gets no answer
    When the lease is read and shows the previous version
    Then the lease ends when it would have without that renewal

  Scenario: The duration is measured from the first of two unanswered renewals
    Two renewals in a row get no answer and the first one took effect. Both
    wrote the same value, so a read cannot tell which one it was; measuring
    from the second one would let the holder order after its lease expired.
    Given a held lease whose renewal gets no answer
    When the lease is read and shows the previous version
    And the next renewal gets no answer either
    And the lease is read and shows that the renewal took effect
    Then the lease duration is measured from before that renewal was sent

  Scenario: A slow answer does not extend the lease
    Given a lease whose first write was answered after 10 s
    Then the lease stays valid for less than 5 s

  Scenario: A VM named in a restored object does not hold the lease
    The store is restored from an old copy of the object, which names a
    previous holder with its current incarnation. If that VM took the name as
    proof, two VMs would order at once.
    Given a lease that another VM acquired later
    When the lease is read as it was when this VM held it
    Then the lease is not held until its duration has passed

  Scenario: Fencing numbers keep rising after the store lost the object
    Given a held lease with fencing number 1
    When an upstream that has seen fencing number 7 refuses an order
    Then no order is sent until the lease is written with number 8

  Scenario: A successor waits for the longest order where fencing is ignored
    Given a lease that was last renewed by another VM
    Then the lease is acquired after its duration and the longest order, not before

  Scenario: A released lease is acquired without waiting for its duration
    Given a lease that another VM released
    Then the lease is acquired after the longest order

  Scenario: An object that is not a lease is not overwritten
    Given a lease object with a value that is not a lease
    Then the lease object is not overwritten
