Feature: The duty to order runners

  # Guards against a fleet reduced from nine on-demand runners to one, and late
  # calls for the first five seconds: runners and VMs start together, and the
  # holder orders for an empty fleet before the first runner is listed.
  Scenario: No order precedes the listing of runners that start with the VMs
    Given a holder that orders runners, in a fleet without any
    When 2 seconds pass and 9 on-demand runners are listed
    Then nothing has been ordered
    When 3 seconds pass at the holder of the orders
    Then 0 on-demand and 15 reclaimable runners are ordered at the end

  # Guards against 15 of 24 runners during a burst at the start of 69 VMs: a
  # few VMs begin to follow the store a second after the start and inform the
  # holder, which must not order while it knows only ten of 16 runners.
  Scenario: No order precedes the updates from the VMs that follow the store
    Given a holder that orders runners, in a fleet without any
    When 3.5 seconds pass and 9 on-demand runners are listed
    Then nothing has been ordered
    When 2 seconds pass at the holder of the orders
    Then 0 on-demand and 15 reclaimable runners are ordered at the end

  # Guards against runners in need that count as if they took all calls.
  Scenario: What limited runners don't take is required besides
    Given a holder that orders runners, in a fleet without any
    When 2 seconds pass and 9 on-demand runners are listed
    And the fleet has a load for 4 runners
    And 10 seconds pass at the holder of the orders
    Then the load requires 1.6 runners more if limits keep 1.6 away
    And a runner of 100 calls a second that takes 25 counts as a quarter

  Scenario: Runners that the load requires are not released
    Given a holder that orders runners, in a fleet without any
    When 2 seconds pass and 9 on-demand runners are listed
    And the fleet has a load for 8 runners
    And 10 seconds pass at the holder of the orders
    Then at least 8 on-demand runners are held while no others serve

  # Guards against paying for on-demand runners for seconds after cheaper
  # reclaimable ones are available again: the next order for these must not
  # come late.
  Scenario: A rejected order is repeated soon
    Given a holder that orders runners, in a fleet without any
    And reclaimable runners are unavailable for 10 seconds
    When 2 seconds pass and 9 on-demand runners are listed
    And 7 seconds pass at the holder of the orders
    Then at most 2 seconds later reclaimable runners are ordered

  # Guards against paying for eleven on-demand runners for four seconds where
  # five are required: the nine initial runners must not count as measured
  # need, to which half is added while reclaimable runners are unavailable.
  Scenario: The initial runners count only until the load is known
    Given a holder that orders runners, in a fleet without any
    And reclaimable runners are unavailable for 60 seconds
    When 2 seconds pass and 9 on-demand runners are listed
    And the fleet has a load for 3 runners
    And 5 seconds pass at the holder of the orders
    Then at least 9 on-demand runners are held while no others serve
    When 3 seconds pass at the holder of the orders
    Then at most 6 on-demand runners are held while no others serve
