Feature: Retry times at which refused calls find reserved units

  # Guards against callers that are told the same time and refused again: with
  # the time at which the limit has room for each call alone, two thirds are.
  Scenario: At three times the limit, punctual callers are admitted
    Given callers of 3 times the limit for 10 seconds
    When all are punctual
    Then under 5 of 100 that return are refused again, and today over 50
    And no window has more units than the token bucket admits
    And new calls have at least 0.45 of the limit

  Scenario: A caller gains nothing by returning early or often
    Given callers of 3 times the limit for 30 seconds
    When three of five are punctual, one returns early and one often
    Then early and frequent callers are served as often as punctual ones
    And no window has more units than the token bucket admits

  # Guards against units that stay reserved for callers that have gone.
  Scenario: Units that nobody returns for are used by new calls
    Given callers of 3 times the limit for 10 seconds
    When none returns
    Then new calls have at least 0.9 of the limit

  Scenario: A call that does not return loses its units
    Given a limit of 100 units a second without units
    When a call of 20 units is refused and does not return
    Then its units are reserved for 1.0 s after its time and no longer

  # Guards against a new keeper that admits a burst, or nothing for a while.
  Scenario: The callers of a keeper that ends compete like new ones
    Given callers of 3 times the limit for 10 seconds
    When all are punctual and the keeper ends after 5 seconds
    Then no window has more units than the token bucket admits
    And new calls have at least 0.45 of the limit
    And after the first 2 seconds of the new keeper nobody is refused again

  # Guards against a second wave after all VMs lost power and every caller has
  # come back at once to a limit without units.
  Scenario: Callers that come back at once don't return at once
    When 400 callers come back within 0.1 seconds to a limit without units
    Then no second has more than twice the mean number of retries
    And under 5 of 100 that return are refused again

  # Guards against retry times at which a caller no longer waits: units set
  # aside for it would be lost to others.
  Scenario: Nothing is reserved for a call beyond its caller's patience
    Given a limit of 100 units a second without units
    When a call of 100 units whose caller honours 1 second is refused
    Then it is told at least 2.0 seconds and nothing is reserved

  # Guards against a call that needs a full bucket and lets all others wait.
  Scenario: A call larger than the burst holds up nobody
    Given a limit of 100 units a second without units
    When a call of 150 units whose caller honours 10 seconds is refused
    Then nothing is reserved and the next call of 10 units is told 0.2 seconds

  Scenario: A call of equal content shares a reservation, and a larger does not
    Given a limit of 100 units a second without units
    When a call of 20 units is refused twice and then returns
    Then there is one reservation, and a call of 30 units does not use it

  # Guards against a customer that is nearly shut out because its calls are all
  # equal: each of them looks like a retry that comes too early.
  Scenario Outline: A customer whose calls are all equal gets its whole limit
    Given a limit of 100 units a second without units
    When equal calls of <units> units arrive at <load> times the limit for 20 seconds
    Then at least 0.9 of what the limit allows is admitted

    Examples:
      | units | load |
      | 10    | 3    |
      | 60    | 3    |
      | 100   | 10   |

  Scenario: A call in time does not find units that other VMs have used
    Given a limit of 100 units a second without units
    When a call of 20 units returns after another VM has used 40 units
    Then it is told a new time, at which it is admitted

  # Guards against keepers whose memory grows with the calls they refuse.
  Scenario: Reservations are bounded
    Given a limit of 100 units a second without units
    When 2000 small calls are refused
    Then 256 reservations remain, and none after their time

  Scenario: At most half of the rate is reserved, and nothing leaks
    Then any calls, retries and refunds keep to the rate and leave nothing
