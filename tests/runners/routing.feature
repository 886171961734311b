Feature: Routing

  Scenario: The cheapest runner that meets the target is chosen, else the fastest
    Then each route agrees with a plain calculation over all runners

  Scenario: The counts of requests agree with a plain count
    Then own requests at each runner equal a plain count after any steps

  Scenario: A known prefix stays at its runner
    Given 5 independent routers and 9 runners of one price
    When router 1 sends a prompt of 40 blocks
    Then router 1 sends a prompt with the same beginning to the same runner

  Scenario: Entry VMs agree on cold prefixes without communication
    Guards against filling the caches of several runners with one prefix,
    because each entry VM places a prefix that it does not know at random.
    Given 5 independent routers and 9 runners of one price
    Then all routers agree on the runner of each of 100 cold prefixes
    But with the policy "random" they disagree

  Scenario: Entry VMs agree although each sees a different light load
    Guards against one request crashing three runners through three entry VMs.
    A runner with two streams looks twice as full as one with a single stream,
    so VMs with reports of different ages would hash over different runners.
    Given 3 independent routers and 6 runners of one price
    When each router has seen 0 to 3 requests of 16 at each runner
    Then all routers agree on the runner of each of 100 cold prefixes

  Scenario: A leaving runner in a list that still shows it as live
    Guards against requests cut off by an announced reclaim. The platform's
    list lags and still shows a runner after its notice.
    Given 1 router and 3 runners of one price
    When runner 0 is leaving and the list still shows it
    Then no route leads to runner 0
    When runner 1 is gone and the list still shows it
    Then no route leads to runner 1
    When the list omits and then shows runner 0 again
    Then no route leads to runner 0
    When runner 2 is leaving and the list still shows it
    Then there is no route because all are leaving

  # Guards against calls that end without a response, as no runner is chosen:
  # parts shorter than a block of the cache count as more tokens than they are.
  Scenario: A cached prompt of parts that are shorter than a block
    Given 3 runners that have cached a prompt of 50 blocks and 20 tokens
    Then the policy "expected_time" finds a runner for it

  Scenario: Excluded runners are not chosen
    Given 1 router and 3 runners of one price
    Then a query that excludes all but runner 1 goes to runner 1
    And a query that excludes all runners has no route

  Scenario: A runner that fails immediately looks idle
    Guards against failing most requests while most runners are healthy. A
    runner that refuses each request within milliseconds always has the fewest
    requests in flight.
    Given 1 router and 9 runners of one price
    When runner 3 refuses each request and 200 requests come in 10 seconds
    Then at most 12 of them went to runner 3

  Scenario: Many VMs use the same old report
    Guards against overloading a runner that was idle 2 seconds ago: all VMs
    see the same report and would send all requests of the next 2 seconds there.
    Given 7 independent routers and 9 runners of one price
    When an old report shows runner 4 idle and the others half full
    Then of 70 prompts sent before the next report at most 30 go to runner 4
    But with the policy "test_reported_idlest" all of them do

  # Guards against sampling runners from all data centres alike. Calls were half
  # of the traffic between data centres, and with 195 VMs and 39 runners every
  # second call opened a connection.
  Scenario: Calls stay in their data centre if its runners are fast
    Given a router of data centre a, and 4 runners in each of a, b and c
    When 60 prompts come while all runners are idle
    Then all of them went to runners in a

  Scenario: Calls leave their data centre if its runners are busy
    Given a router of data centre a, and 4 runners in each of a, b and c
    When 60 prompts come while runners in a have 40000 tokens to read
    Then at least 55 of them went to runners in b or c

  Scenario: A data centre that has lost its runners sends to the others
    Given a router of data centre a, and 4 runners in each of a, b and c
    When 60 prompts come after all runners in a but one have gone
    Then runners in b and c got calls, and so did the one in a
