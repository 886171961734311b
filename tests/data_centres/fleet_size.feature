Feature: How many runners of each kind to hold

  Scenario: Reclaimable runners alone, while they are to be had
    Given terms of 1 to 6 runners in 3 data centres
    When 6 runners are needed and all orders are met at once
    Then 0 on demand and 15 reclaimable ones are held

  # Symptom: a fleet with two or three times the runners that it needs pays
  # more for the few on-demand ones among them than for all the others.
  # Cause: a part of the need held on demand also when a reclaim leaves enough.
  Scenario: From the notice of a reclaim on, on-demand runners come in
    Given terms of 1 to 6 runners in 3 data centres
    When 6 runners are needed and all orders are met at once
    And a data centre is reclaimed while 6 are needed
    Then 4 on demand are held in the end

  # Symptom: calls wait for seconds after a reclaim.
  # Events: all reclaimable runners of a data centre are taken at once.
  # Cause: runners counted that one notice can take away.
  Scenario Outline: One reclaim leaves what is needed
    Given terms of 1 to 12 runners in 3 data centres
    When <needed> runners are needed and all orders are met at once
    Then without any one data centre's reclaimable runners <needed> are left

    Examples:
      | needed |
      | 3      |
      | 6      |
      | 13     |

  # Symptom: 3 runners serve where 12 are needed.
  # Events: reclaimable runners are asked for again after a reclaim; the
  # on-demand ones are given back in the same moment; the order is refused.
  # Cause: an order taken for a runner.
  Scenario: On-demand runners stay until reclaimable ones are on their way
    Given terms of 1 to 6 runners in 3 data centres
    And 9 on-demand runners are held and none reclaimable
    When 9 runners are needed and reclaimable ones are refused
    Then at least 9 on demand are held all the while

  # Symptom: 3 runners serve for 4 seconds where 9 are needed.
  # Events: reclaimable runners are ordered and the order is taken; on-demand
  # ones are given back in the next step, while the others boot.
  # Cause: runners on their way counted as those that serve.
  Scenario: On-demand runners stay until reclaimable ones serve
    Given terms of 1 to 6 runners in 3 data centres
    And 9 on-demand runners are held and none reclaimable
    When 9 runners are needed and reclaimable ones boot for 4 seconds
    Then at least 9 runners serve all the while
    And 0 on demand are held in the end

  # Symptom: as above, in a deployment with few runners a data centre.
  # Events: the need rises over what fits; on-demand runners are ordered up to
  # the bound, and the reclaimable ones beside them are ordered away.
  # Cause: the bound of both kinds filled by one.
  Scenario: On-demand runners don't take the place of reclaimable ones
    Given terms of 1 to 3 runners in 3 data centres
    And 1 on-demand and 2 reclaimable runners are held in each
    When 15 runners are needed
    Then the plan holds 2 reclaimable runners in each data centre

  Scenario: A need that falls for a moment gives no runner back
    Given terms of 1 to 6 runners in 3 data centres
    And 9 on-demand runners are held and none reclaimable
    When 9 runners are needed, then 3 for 1 second
    Then the plan holds 14 on-demand runners

  Scenario: The plan keeps within the bounds of each data centre
    Then no plan is ever outside of the bounds

  # Symptom: calls are late for ten seconds after a lull.
  # Events: the load falls for some seconds, two thirds of the runners are
  # given back, and their caches with them; then the load is back.
  # Cause: cheap runners given back as fast as dear ones.
  Scenario: Reclaimable runners outlast a lull
    Given terms of 1 to 6 runners in 3 data centres
    And 1 on-demand and 2 reclaimable runners are held in each
    When 6 runners are needed, then 2 for 12 seconds
    Then the plan holds 5 reclaimable runners in each data centre

  # Symptom: an on-demand runner is let go and started anew every second.
  # Events: a data centre has to hold one runner; reclaimable ones are wanted
  # there and refused, again and again.
  # Cause: a runner that is only wanted makes up the least that must be there.
  Scenario: A wanted runner does not make up the least of a data centre
    Given terms of 1 to 6 runners in 3 data centres
    And 1 on-demand and 2 reclaimable runners are held in each
    When a data centre is reclaimed and others are refused for 20 seconds
    Then it holds an on-demand runner all the while

  # Symptom: two of the last three reclaimable runners are given back while
  # none are to be had, and half of the calls are late for ten seconds.
  # Events: reclaims; then the VM that orders stands still, and another one
  # takes the duty over in a lull.
  # Cause: the new one knows no need but the current one, and of no reclaim.
  Scenario: What is scarce is not given back by a new holder of the duty
    Given terms of 1 to 6 runners in 3 data centres
    When 6 runners are needed and all orders are met at once
    And a data centre is reclaimed and another VM takes over in a lull
    Then no reclaimable runner is given back for 10 seconds

  # Symptom: two runners are left for a need of four, 9 s after the first call.
  # Events: a data centre is reclaimed 3 s after it, before the load is known;
  # another one is 6 s later.
  # Cause: the runners that are left held to be enough, and no others ordered.
  Scenario: A reclaim before the load is known is prepared for like any other
    Given terms of 1 to 12 runners in 3 data centres
    And 1 on-demand and 2 reclaimable runners are held in each
    When all VMs start anew amid work and trust the 9 runners that are there
    And a data centre's reclaimable ones go meanwhile
    Then without any one data centre's reclaimable runners 13 are left

  # Symptom: calls are late for the ten seconds after each reclaim.
  # Events: reclaimable runners go and are not to be had again for a while; as
  # many on-demand ones as the load needs take their place.
  # Cause: what the load needs leaves no room for calls that come in clumps.
  Scenario: While reclaimable runners are scarce half as many more are held
    Given terms of 1 to 6 runners in 3 data centres
    When 9 runners are needed and reclaimable ones are refused
    Then 14 on demand are held in the end
    When 9 runners are needed and all orders are met at once
    Then 0 on demand are held in the end

  Scenario: What is to be had again may be given back
    Given terms of 1 to 6 runners in 3 data centres
    When 6 runners are needed and all orders are met at once
    And a data centre is reclaimed and others are refused for 20 seconds
    And 2 runners are needed and all orders are met at once
    Then 0 on demand and 6 reclaimable ones are held

  Scenario Outline: On-demand runners go where they are cheap, half of them
    Given terms of 1 to 6 runners in 3 data centres
    And <held> on-demand runners are held and none reclaimable
    When <needed> runners are needed and reclaimable ones are refused
    Then <a>, <c> and <b> on-demand runners are held, the cheapest first

    Examples:
      | held | needed | a | c | b |
      | 9    | 9      | 6 | 5 | 3 |
      | 9    | 4      | 3 | 2 | 1 |
      | 0    | 4      | 3 | 2 | 1 |
      | 0    | 7      | 6 | 4 | 1 |
      | 0    | 14     | 6 | 6 | 6 |

  # Symptom: a deployment pays nine on-demand runners for ten seconds before
  # its first call.
  # Events: it starts with nine; the plan orders reclaimable ones in the place
  # of five and holds the five until those serve.
  # Cause: runners that nobody uses yet are kept like those at work.
  Scenario: Before the first work on-demand runners wait for nobody
    Given terms of 1 to 6 runners in 3 data centres
    And 9 on-demand runners are held and none reclaimable
    When 9 runners are needed without any work, and others boot
    Then 3 on demand are held after the second step

  Scenario: Before the first work they stay while no others come
    Given terms of 1 to 6 runners in 3 data centres
    And 9 on-demand runners are held and none reclaimable
    When 9 runners are needed without any work, and others are refused
    Then at least 9 on demand are held all the while

  # Symptom: two runners are left on a calm day for four seconds, first tokens
  # come after two.
  # Events: reclaimable runners of one data centre are taken and no more are to
  # be had; on-demand ones are given back, as eight reclaimable ones still
  # serve; those are taken within the next two seconds.
  # Cause: scarce runners counted on as if reclaims came one at a time.
  Scenario: On-demand runners are not given back for reclaimable ones while these are scarce
    Given terms of 1 to 12 runners in 3 data centres
    And 4 reclaimable runners are held in each data centre
    When 7 runners are needed, the last data centre's are reclaimed, and then 3 are needed
    Then 5 on demand are held in the end
    When 3 runners are needed and reclaimable ones are to be had again
    Then at most 3 on demand are held in the end
