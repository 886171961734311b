Feature: Prompt parts that crash runners, told apart from those of sound calls

  # Guards against runners that crash one after the other under calls that have
  # one part in common, and against refusing what sound calls share with them.
  Scenario Outline: A bad part is kept away from runners, and nothing else is
    Given 4 VMs whose records are lost one time in five
    And 15 calls a second with the part "sys"
    And from 5 s on <bad>
    When <beside>
    Then in any of 6 simulations at most 3 calls with a bad part reach runners later than 3 s after its fifth crash
    And at least half of the sound calls are let run from a second after the last crash on

    Examples:
      | bad                                                               | beside                          |
      | 3 calls a second with "sys bad"                                   | nothing else happens            |
      | 3 calls a second with "bad sys"                                   | nothing else happens            |
      | 3 calls a second with "a bad b", and 1 with "a" and with "b" each | nothing else happens            |
      | 3 calls a second with "sys bad" and with "sys bad2" each          | nothing else happens            |
      | 3 calls a second with "sys bad", which are all equal              | nothing else happens            |
      | 1 call a second of each of 3 customers with "sys bad"             | nothing else happens            |
      | 3 calls a second with "sys bad"                                   | 3 of 9 runners are killed twice |
      | 3 calls a second with "sys bad"                                   | VMs restart in turn             |
      | no calls with a bad part                                          | 3 of 9 runners are killed twice |

  Scenario: Without an account of parts their calls go on crashing runners
    Given 4 VMs whose records are lost one time in five
    And 15 calls a second with the part "sys"
    And from 5 s on 3 calls a second with "sys bad"
    When nothing else happens
    Then in each of 3 simulations by fingerprints alone over 20 of them reach runners late

  Scenario Outline: What always accompanies a bad part doesn't block alone
    Given calls with the parts <crashing> that crashed r1 and r2
    Then the VM <does> a call with the parts <other>

    Examples:
      | crashing | other | does     |
      | a bad    | a bad | blocks   |
      | a bad    | a     | lets run |
      | a bad    | c bad | lets run |

  Scenario: A part that crashes runners in other company blocks alone
    Given calls with the parts a bad that crashed r1 and r2
    And a call with the parts c bad that crashed r3
    Then the VM blocks a call with the parts d bad
    And the VM lets run a call with the parts a
    And the VM lets run a call with the parts c

  # Guards against a customer that shuts another one out by naming its parts in
  # calls that crash runners.
  Scenario: A customer's crashes don't block a part that others are answered on
    Given two calls of customer x with the parts a, which crashed r1 and r2
    Then the VM blocks a call of customer x with the parts a
    And the VM lets run a call of customer y with the parts a
    When a call of customer y with the parts a is answered
    Then the VM blocks a call of customer x with the parts a

  Scenario: A part of two customers' calls is blocked for all
    Given one call of customer x with the parts a, which crashed r1
    And one call of customer y with the parts a, which crashed r2
    Then the VM blocks a call of customer z with the parts a

  Scenario: One call at two crashes says nothing of its parts
    Given one and the same call with the parts a at the crashes of r1 and r2
    Then the VM lets run a call with the parts a

  # Guards against VMs that learn of innocent calls alone, when a record has no
  # room for all calls of a crash.
  Scenario: The guilty one of 128 calls is told before the crash is forgotten
    Given crashes of r1 and r2, each with a call with the part bad and 127 others
    When another VM gets the records of 3 seconds, each of at most 4096 characters
    Then the other VM blocks a call with the parts bad
    And the other VM lets run a call with the parts other

  Scenario: A VM that starts later learns which parts are blocked
    Given calls with the parts a bad that crashed r1 and r2
    And a call with the parts c bad that crashed r3
    When after 20 s another VM starts and gets the records of 2 seconds
    Then the other VM blocks a call with the parts d bad

  # Guards against a process that grows by the names of parts that callers make
  # up.
  Scenario: The features of suspects are limited
    Given 600 crashes, each with 100 calls with 8 new parts each
    Then the VM keeps at most 50000 features, and the last crash

  # Guards against a fleet in which thousands of VMs repeat the same crashes.
  Scenario: Few VMs tell again and again what explains crashes
    Given calls with the parts a bad that crashed r1 and r2
    And a call with the parts c bad that crashed r3
    When all of 40 VMs have heard of it and 20 s have passed
    Then 8 of them tell it in their whole records

  # Guards against the word of a VM that lost its paths, told on by others.
  Scenario: Crashes of a cut-off VM are taken back where they were told on
    Given calls with the parts a bad that crashed r1 and r2
    And a call with the parts c bad that crashed r3
    When after 20 s another VM starts and gets the records of 2 seconds
    And the first VM finds that it has reached no runner for 60 seconds
    Then the VM lets run a call with the parts d bad
    And the other VM lets run a call with the parts d bad

  Scenario Outline: A bad part doesn't hide at fragile runners
    Given fragile runners, and calls with the part bad that crashed <count> of them
    Then the VM <does> a call with the parts bad

    Examples:
      | count | does     |
      | 3     | lets run |
      | 4     | blocks   |

  Scenario: A call at the crash of a fragile runner is not blocked as a whole
    Given fragile runners, and one call that crashed 4 of them
    Then that call is not blocked

  Scenario: A trial that is answered ends the block of a part everywhere
    Given calls with the parts a bad that crashed r1 and r2
    And a call with the parts c bad that crashed r3
    When 72 seconds pass at the VM
    Then one call with the parts d bad may run as a trial
    When it is answered
    Then the VM lets run a call with the parts e bad

  Scenario: A trial that crashes its runner is the last one
    Given calls with the parts a bad that crashed r1 and r2
    And a call with the parts c bad that crashed r3
    When 72 seconds pass at the VM
    Then one call with the parts d bad may run as a trial
    When it crashes its runner
    Then no call with the parts e bad runs in the next 1500 seconds
