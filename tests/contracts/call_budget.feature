Feature: Each VM's share of the object API's call rate

  Scenario: For the highest priority it is a plain token bucket
    Then the call budget's claims equal those of the naive bucket

  Scenario: With any mix of priorities it stays within the share
    Then the call budget never exceeds its share over any span of time

  Scenario: A higher priority never waits longer than a lower one
    Then the call budget never makes a higher priority wait for longer

  Scenario Outline: Status reports don't prevent a claim
    Symptom: calls marked as non-idempotent are refused under load.
    Events: status reports are sent as fast as the budget allows.
    Cause: the reports take the token that the claim needed.
    Given a <budget> call budget used up by status reports
    Then a claim on the call budget is <verdict>

    Examples:
      | budget | verdict |
      | naive  | refused |
      | ranked | allowed |

  Scenario: The share shrinks as the fleet grows
    Given a call budget of 300 writes per second in a fleet of 10
    Then the call budget allows 30 claims per second
    When the call budget's fleet grows to 100
    Then the call budget allows 3 claims per second

  Scenario: A network partition between regions doesn't double the load
    Symptom: the object API throttles everyone during a partition.
    Events: each half of the fleet sees the other half disappear.
    Cause: each half takes over the shares that the other half still uses.
    Given a call budget of 300 writes per second in a fleet of 100
    When the call budget's fleet shrinks to 50 for 60 seconds
    Then the call budget allows 3 claims per second
    When the call budget's fleet shrinks to 50 for 300 seconds
    Then the call budget allows 6 claims per second

  Scenario: After a throttled call the share is halved, then recovers
    Given a call budget of 300 writes per second in a fleet of 10
    When the object API throttles a write for 5 seconds
    Then the call budget allows 0 claims within 5 seconds
    And the call budget allows 16 claims per second
    And the call budget allows 30 claims per second after 60 seconds
