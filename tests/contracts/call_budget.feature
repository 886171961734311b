Feature: Each VM's share of the object API's call rate

  Scenario: For the highest rank it is a plain token bucket
    Then the call budget's claims equal those of the naive bucket

  Scenario: For any mix of ranks it keeps within the share
    Then the call budget never exceeds its share over any span of time

  Scenario: A lower rank never goes where a higher one may not
    Then the call budget never makes a higher rank wait for longer

  Scenario Outline: Reports of status don't stop a claim
    Symptom: calls marked as non-idempotent are refused under load.
    Events: status reports come as fast as the budget lets them pass.
    Cause: they spend the token that the claim needed.
    Given a <budget> call budget spent by status reports
    Then a claim on the call budget is <verdict>

    Examples:
      | budget | verdict |
      | naive  | refused |
      | ranked | allowed |

  Scenario: The share shrinks as the fleet grows
    Given a call budget of 300 writes per second in a fleet of 10
    Then the call budget lets 30 claims pass per second
    When the call budget's fleet grows to 100
    Then the call budget lets 3 claims pass per second

  Scenario: Regions that lose each other don't double the load
    Symptom: the object API throttles everyone during a partition.
    Events: each half of the fleet sees the other half vanish.
    Cause: both halves take over the shares that the other still spends.
    Given a call budget of 300 writes per second in a fleet of 100
    When the call budget's fleet shrinks to 50 for 60 seconds
    Then the call budget lets 3 claims pass per second
    When the call budget's fleet shrinks to 50 for 300 seconds
    Then the call budget lets 6 claims pass per second

  Scenario: After a throttled call the share is halved, then recovers
    Given a call budget of 300 writes per second in a fleet of 10
    When the object API throttles a write for 5 seconds
    Then the call budget lets 0 claims pass within 5 seconds
    And the call budget lets 16 claims pass per second
    And the call budget lets 30 claims pass per second after 60 seconds
