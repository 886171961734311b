Feature: Leases with fencing

  Scenario: One holder at a time, whatever the store and the VMs do
    Then with lost answers, pauses and moves no two hold a lease at once
    And no lease order takes effect after one of a later holder

  Scenario: The naive lease has two holders and lets old orders through
    Symptom: an upstream loads what an old holder had wanted.
    Events: the holder renews, is paused past its lease, another VM takes
      over and orders; the first wakes up and orders too.
    Cause: it looks at the lease when it renews, not when it orders.
    Given naive lease contenders, the holder paused for 40 s
    Then two would have ordered at once under the lease
    And some lease order took effect after one of a later holder

  Scenario: The same pause with the lease asked before each order
    Given lease contenders, the holder paused for 40 s
    Then at no time would two have ordered under the lease
    And every lease order took effect before those of later holders
    And the lease has moved to another holder

  Scenario: A renewal whose answer is lost is read back
    Symptom: a healthy holder gives up its duty, or extends it wrongly.
    Events: the renewal took effect, its answer is lost.
    Cause: a lost answer tells nothing about the write.
    Given a held lease whose renewal gets no answer
    When the lease is read and shows that the renewal took effect
    Then the lease counts from before that renewal was sent

  Scenario: A renewal that did not take effect extends nothing
    Given a held lease whose renewal gets no answer
    When the lease is read and shows the version before
    Then the lease ends when it would have without that renewal

  Scenario: Of two renewals in doubt the first one counts
    Symptom: a holder orders a little past its lease.
    Events: two renewals in a row get no answer; the first took effect.
    Cause: both wrote the same value, so a read cannot tell them apart.
    Given a held lease whose renewal gets no answer
    When the lease is read and shows the version before
    And its next renewal gets no answer either
    And the lease is read and shows that the renewal took effect
    Then the lease counts from before that renewal was sent

  Scenario: A slow answer does not lengthen the lease
    Given a lease whose first write was answered after 10 s
    Then the lease holds for less than 5 s more

  Scenario: A name in a restored object does not make a holder
    Symptom: two VMs order at once after the store was restored.
    Events: an old copy of the object names a former holder; its name and
      incarnation fit.
    Cause: a name says who held it once, not who may order now.
    Given a lease that another VM took over
    When the lease is read as it was when this VM held it
    Then the lease is not held and is waited out

  Scenario: Fencing numbers rise again after the store lost the object
    Given a held lease with fencing number 1
    When an upstream refuses it as it has seen fencing number 7
    Then no order goes out until the lease is written with number 8

  Scenario: A successor waits for the longest order where fencing is ignored
    Given a lease that was last renewed by another VM
    Then it is taken after its duration and the longest order, not before

  Scenario: A released lease is taken without waiting for its duration
    Given a lease that another VM released
    Then it is taken after the longest order

  Scenario: An object that is no lease is left alone
    Given a lease object that holds something else
    Then nothing is written over it
