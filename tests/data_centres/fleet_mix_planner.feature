Feature: Number of runners of each kind to hold

  Scenario: Only reclaimable runners are held while they are available
    Given limits of 1 to 6 runners in each of 3 data centres
    When 6 runners are required and all orders succeed immediately
    Then 0 on-demand and 15 reclaimable runners are held

  # Guards against paying more for a few on-demand runners than for all others.
  # The fleet has two or three times the runners that it needs, yet it holds part
  # of the need on demand although one reclaim would leave enough.
  Scenario: On-demand runners are added from the notice of a reclaim
    Given limits of 1 to 6 runners in each of 3 data centres
    When 6 runners are required and all orders succeed immediately
    And a data centre is reclaimed while 6 runners are required
    Then 4 on-demand runners are held at the end

  # Guards against calls that wait for seconds after a reclaim. The cloud takes
  # all reclaimable runners of a data centre at once, while the plan counts on
  # them.
  Scenario Outline: One reclaim leaves the required runners
    Given limits of 1 to 12 runners in each of 3 data centres
    When <needed> runners are required and all orders succeed immediately
    Then at least <needed> runners remain without any one data centre's reclaimable runners

    Examples:
      | needed |
      | 3      |
      | 6      |
      | 13     |

  # Guards against 3 serving runners where 12 are required. After a reclaim, the
  # plan orders reclaimable runners again and releases on-demand ones at the same
  # time, and the cloud refuses the order.
  Scenario: On-demand runners stay until reclaimable ones are ordered successfully
    Given limits of 1 to 6 runners in each of 3 data centres
    And 9 on-demand runners and no reclaimable ones are held
    When 9 runners are required and orders for reclaimable ones are refused
    Then at least 9 on-demand runners are held at all times

  # Guards against 3 serving runners for 4 seconds where 9 are required. The cloud
  # accepts an order for reclaimable runners, and the next plan counts them as
  # serving and releases on-demand ones while they boot.
  Scenario: On-demand runners stay until reclaimable ones serve
    Given limits of 1 to 6 runners in each of 3 data centres
    And 9 on-demand runners and no reclaimable ones are held
    When 9 runners are required and reclaimable ones boot for 4 seconds
    Then at least 9 runners serve at all times
    And 0 on-demand runners are held at the end

  # Guards against the same shortage with few runners per data centre. The need
  # exceeds the limits; on-demand runners are ordered up to the maximum, which
  # displaces the reclaimable runners of the same data centre.
  Scenario: On-demand runners do not displace reclaimable ones
    Given limits of 1 to 3 runners in each of 3 data centres
    And 1 on-demand and 2 reclaimable runners are held in each data centre
    When 15 runners are required
    Then the plan holds 2 reclaimable runners in each data centre

  Scenario: A brief fall of the need releases no runner
    Given limits of 1 to 6 runners in each of 3 data centres
    And 9 on-demand runners and no reclaimable ones are held
    When 9 runners are required, then 3 for 1 second
    Then the plan holds 14 on-demand runners

  Scenario: The plan keeps the limits of each data centre
    Then no plan violates the limits

  # Guards against calls that are late for ten seconds after a lull. The load
  # falls for some seconds, two thirds of the runners are released together with
  # their caches, as cheap runners are released as fast as expensive ones.
  Scenario: Reclaimable runners are kept during a lull
    Given limits of 1 to 6 runners in each of 3 data centres
    And 1 on-demand and 2 reclaimable runners are held in each data centre
    When 6 runners are required, then 2 for 12 seconds
    Then the plan holds 5 reclaimable runners in each data centre

  # Guards against stopping and starting an on-demand runner every second. A data
  # centre has to hold one runner; orders for reclaimable ones are refused
  # repeatedly, but each planned one counts towards the minimum.
  Scenario: A planned runner does not count towards the minimum of a data centre
    Given limits of 1 to 6 runners in each of 3 data centres
    And 1 on-demand and 2 reclaimable runners are held in each data centre
    When a data centre is reclaimed and further orders are refused for 20 seconds
    Then it holds an on-demand runner at all times

  # Guards against the release of two of the last three reclaimable runners, which
  # makes half of the calls late for ten seconds. After reclaims, the lease moves
  # in a lull to a VM that knows neither the earlier need nor the reclaims.
  Scenario: A new lease holder keeps scarce runners
    Given limits of 1 to 6 runners in each of 3 data centres
    When 6 runners are required and all orders succeed immediately
    And a data centre is reclaimed and another VM takes over in a lull
    Then no reclaimable runner is released for 10 seconds

  # Guards against two runners for a need of four, 9 s after the first call. One
  # data centre is reclaimed after 3 s, before the load is known, and another one
  # 6 s later; no runners replace the first, as the remaining ones seem enough.
  Scenario: A reclaim before the load is known is handled like any other
    Given limits of 1 to 12 runners in each of 3 data centres
    And 1 on-demand and 2 reclaimable runners are held in each data centre
    When all VMs restart under load and assume that the present 9 runners are required
    And the reclaimable runners of a data centre are reclaimed meanwhile
    Then at least 13 runners remain without any one data centre's reclaimable runners

  # Guards against calls that are late for ten seconds after each reclaim. While
  # reclaimable runners are unavailable, as many on-demand runners as the load
  # needs replace them, which leaves no room for bursts of calls.
  Scenario: Half as many runners more are held while reclaimable ones are scarce
    Given limits of 1 to 6 runners in each of 3 data centres
    When 9 runners are required and orders for reclaimable ones are refused
    Then 14 on-demand runners are held at the end
    When 9 runners are required and all orders succeed immediately
    Then 0 on-demand runners are held at the end

  Scenario: Runners may be released once they are available again
    Given limits of 1 to 6 runners in each of 3 data centres
    When 6 runners are required and all orders succeed immediately
    And a data centre is reclaimed and further orders are refused for 20 seconds
    And 2 runners are required and all orders succeed immediately
    Then 0 on-demand and 6 reclaimable runners are held

  Scenario Outline: The cheapest data centre holds up to half of the on-demand runners
    Given limits of 1 to 6 runners in each of 3 data centres
    And <held> on-demand runners and no reclaimable ones are held
    When <needed> runners are required and orders for reclaimable ones are refused
    Then <a>, <c> and <b> on-demand runners are held, the cheapest first

    Examples:
      | held | needed | a | c | b |
      | 9    | 9      | 6 | 5 | 3 |
      | 9    | 4      | 3 | 2 | 1 |
      | 0    | 4      | 3 | 2 | 1 |
      | 0    | 7      | 6 | 4 | 1 |
      | 0    | 14     | 6 | 6 | 6 |

  # Guards against paying for nine on-demand runners for ten seconds before the
  # first call. The plan replaces five of the initial nine by reclaimable ones,
  # but keeps the five until those serve, although no calls use them yet.
  Scenario: On-demand runners are released at once before the first work
    Given limits of 1 to 6 runners in each of 3 data centres
    And 9 on-demand runners and no reclaimable ones are held
    When 9 runners are required before any work, and reclaimable ones boot
    Then 3 on-demand runners are held after the second step

  Scenario: On-demand runners stay before the first work while others are unavailable
    Given limits of 1 to 6 runners in each of 3 data centres
    And 9 on-demand runners and no reclaimable ones are held
    When 9 runners are required before any work, and reclaimable ones are refused
    Then at least 9 on-demand runners are held at all times

  # Guards against two runners for four seconds on a calm day, with first tokens
  # after two seconds. One data centre is reclaimed; on-demand runners are
  # released as eight reclaimable ones serve, which go within two seconds, too.
  Scenario: On-demand runners are not released for scarce reclaimable ones
    Given limits of 1 to 12 runners in each of 3 data centres
    And 4 reclaimable runners are held in each data centre
    When 7 runners are required, the last data centre is reclaimed, and then 3 are required
    Then 5 on-demand runners are held at the end
    When 3 runners are required and reclaimable ones are available again
    Then at most 3 on-demand runners are held at the end
