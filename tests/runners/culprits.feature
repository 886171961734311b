Feature: Which calls are kept away after crashes

  # Symptom: one call takes down runner after runner.
  # Events: the call crashes the runner that runs it; its caller sends it
  # again, to any entry VM.
  # Cause: an entry VM knows only the crashes that it saw itself.
  Scenario: A call that crashes runners is kept away by all entry VMs
    Then remembering nothing, a call that is sent 40 times crashes 40 runners
    And with them it crashes 2, in any of 50 worlds that lose every third one

  Scenario: Calls that were at one crash only are not kept away
    Given an entry VM whose calls "a", "b" and "c" broke off at r1
    When r1 has ended
    Then none of "a", "b" and "c" is kept away

  Scenario: A call that was at two crashes is kept away at once
    Given an entry VM whose calls "a", "b" and "c" broke off at r1
    When r1 has ended
    And the call "a" breaks off at r2, which has ended
    Then the call "a" is kept away
    And the call "b" is not kept away

  Scenario: An answer that breaks off at a living runner is no crash
    Given an entry VM whose calls "a", "b" and "c" broke off at r1
    When the call "a" breaks off at r2 and at r3
    Then the call "a" is not kept away

  Scenario: A break long before a runner's end does not count
    Given an entry VM whose calls "a", "b" and "c" broke off at r1
    When the call "a" breaks off at r2, which has ended
    And 7 seconds pass and r1 has ended
    Then the call "a" is not kept away

  Scenario: A call that breaks off just after its runner's end counts
    Symptom: a crash is charged to the first of the calls that broke off.
    Events: a runner ends; its connections break one after the other, and
    the first call's end shows that it takes no new ones.
    Cause: the account of a crash closed with its first call.
    Given an entry VM whose calls "a", "b" and "c" broke off at r1
    When r1 has ended
    And the call "d" breaks off at r1
    And the call "d" breaks off at r2, which has ended
    Then the call "d" is kept away

  Scenario: A crash under many calls is told whole
    Symptom: other entry VMs let a call run that crashed its second runner.
    Events: a runner ends with a dozen calls, which break off one after the
    other; the records tell of the last four.
    Cause: each of them is told like a death of its own.
    Given an entry VM whose calls "a", "b" and "c" broke off at r1
    When r1 has ended
    And 12 more calls break off at r1, one after the other
    Then its next record tells one death with 15 calls

  Scenario: An answer clears a call, at other entry VMs too
    Given an entry VM whose calls "a", "b" and "c" broke off at r1
    When r1 has ended
    And the call "a" is answered at another entry VM
    And the call "a" breaks off at r2, which has ended
    Then the call "a" is not kept away

  Scenario: An entry VM that starts later learns what is kept away
    Given an entry VM whose calls "a", "b" and "c" broke off at r1
    When r1 has ended
    And the call "a" breaks off at r2, which has ended
    And 10 seconds pass and another entry VM starts
    Then the call "a" is kept away there, for at most 1800 seconds

  Scenario: What is told back and forth ends
    Given an entry VM whose calls "a", "b" and "c" broke off at r1
    When r1 has ended
    And the call "a" breaks off at r2, which has ended
    And two entry VMs tell each other for 2000 seconds
    Then the call "a" is not kept away
