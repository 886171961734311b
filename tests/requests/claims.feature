Feature: Claims of keys chosen by callers

  Scenario: Waiting claims share one write
    Given claims with one bucket
    When 50 keys are claimed before the store answers
    And the store answers all calls for claims
    Then 50 claims succeed with 1 writes

  Scenario: The answer to a write is lost after it took effect
    Guards against a claim that counts as failed although the store holds it,
    or that is written twice. The store accepts the write but its answer is
    lost, and a missing answer does not tell whether the write took effect.

    Given claims with one bucket
    When key "k" is claimed and the answer to its write is lost
    And the store answers all calls for claims
    Then 1 claims succeed with 1 writes

  Scenario: The store fails before the write can be read back
    Given claims with one bucket
    When key "k" is claimed and the answer to its write is lost
    And the store of the claims fails
    Then the claim of "k" fails, but may have been written
    When key "j" is claimed
    Then the claim of "j" is refused without a call to the store

  Scenario: Only one VM claims a key, whatever the faults
    Then in random sequences at most one VM claims each key

  Scenario: A full bucket refuses new keys
    Given claims with one bucket that is full
    When key "k" is claimed
    And the store answers all calls for claims
    Then the claim of "k" fails with "claims_full"

  Scenario: A full bucket drops claims older than their retention time
    Given claims with one bucket that is full
    When the claims are 22000 seconds old
    And key "k" is claimed
    And the store answers all calls for claims
    Then 1 claims succeed with 1 writes

  Scenario: A bucket with unexpected content refuses its keys
    Given claims with one bucket that has unexpected content
    When key "k" is claimed
    And the store answers all calls for claims
    Then the claim of "k" fails with "store_unavailable"

  Scenario: VMs with the same membership choose the same home VM for a key
    Then 3 VMs agree on the home VM of each of 200 keys, in any order of VMs
    And 200 keys have their home VMs spread over 7 VMs
