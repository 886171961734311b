Feature: Claims of keys that callers made up

  Scenario: Claims that wait share one write
    Given claims on one bucket
    When 50 keys are claimed before the store answers
    And the store answers all claim calls
    Then 50 claims are won with 1 writes

  Scenario: The answer to a write is lost after it took effect
    Symptom: a claim that was made counts as not made, or is made twice.
    Events: the store writes, its answer gets lost.
    Cause: no answer says nothing about the effect.

    Given claims on one bucket
    When key "k" is claimed and the answer to its write is lost
    And the store answers all claim calls
    Then 1 claims are won with 1 writes

  Scenario: The store goes down before the write could be read back
    Given claims on one bucket
    When key "k" is claimed and the answer to its write is lost
    And the claims' store fails
    Then the claim of "k" is not made, but maybe written
    When key "j" is claimed
    Then the claim of "j" is refused without a call of the store

  Scenario: A key is claimed by one VM only, whatever the faults
    Then in random sequences one claimer at most wins each key

  Scenario: A full bucket refuses new keys
    Given claims on one bucket that is full
    When key "k" is claimed
    And the store answers all claim calls
    Then the claim of "k" fails with "claims_full"

  Scenario: A full bucket drops claims that are older than promised
    Given claims on one bucket that is full
    When the claims are 22000 seconds old
    And key "k" is claimed
    And the store answers all claim calls
    Then 1 claims are won with 1 writes

  Scenario: An object that holds something else
    Given claims on one bucket that holds something else
    When key "k" is claimed
    And the store answers all claim calls
    Then the claim of "k" fails with "store_unavailable"

  Scenario: VMs that see the same fleet send a key to one home
    Then 3 VMs agree on the home of each of 200 keys, in any order
    And the homes of 200 keys are shared by 7 VMs
