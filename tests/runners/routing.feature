Feature: Routing

  Scenario: The choice is the cheapest that meets the target, or the fastest
    Then each route agrees with a plain reckoning of all runners

  Scenario: The counts of requests agree with a plain count
    Then own requests at each runner equal a plain count after any steps

  Scenario: A prefix that is known stays where it is
    Given 5 routers that don't talk and 9 runners of one price
    When router 1 sends a prompt of 40 blocks
    Then router 1 sends a prompt with the same beginning to the same runner

  Scenario: Entry VMs agree on cold prefixes without talking
    Symptom: each entry VM fills another runner's cache with one prefix.
    Events: 5 entry VMs that share nothing get prompts with one beginning.
    Cause: each places a prefix that it doesn't know by its own dice.
    Given 5 routers that don't talk and 9 runners of one price
    Then all the routers send 100 cold prefixes to one runner each
    But with the policy "random" they don't

  Scenario: Entry VMs agree although each sees another light load
    Symptom: copies of one request that crashes its runner, sent to three
    entry VMs at once, take three runners with them.
    Events: a few streams run; each VM has read reports of another age.
    Cause: a runner with two streams looks twice as full as one with one, so
    each VM leaves out other runners before it goes by the hash.
    Given 3 routers that don't talk and 6 runners of one price
    When each router has seen 0 to 3 requests of 16 at each runner
    Then all the routers send 100 cold prefixes to one runner each

  Scenario: A leaving runner, and a list that still shows it live
    Symptom: a request is cut off by a reclaim that was known before.
    Events: a notice arrives; the platform's list lags and says live.
    Cause: the list is believed over the notice.
    Given 1 router and 3 runners of one price
    When runner 0 is leaving and the list still shows it
    Then no route leads to runner 0
    When runner 1 is gone and the list still shows it
    Then no route leads to runner 1
    When the list drops and shows runner 0 again
    Then no route leads to runner 0
    When runner 2 is leaving and the list still shows it
    Then there is no route because all are leaving

  Scenario: Excluded runners are not chosen
    Given 1 router and 3 runners of one price
    Then a query that excludes all but runner 1 goes to runner 1
    And a query that excludes all runners has no route

  Scenario: A runner that fails at once looks idle
    Symptom: most requests fail while most runners are healthy.
    Events: one runner refuses each request within milliseconds.
    Cause: its requests end at once, so it always has the fewest in flight.
    Given 1 router and 9 runners of one price
    When runner 3 refuses each request and 200 requests come in 10 seconds
    Then at most 12 of them went to runner 3

  Scenario: Many VMs read one old report
    Symptom: one runner is overfilled each time that it was idle.
    Events: reports 2 seconds old show one runner idle, the rest half full.
    Cause: all requests of the next 2 seconds go to the idle one.
    Given 7 routers that don't talk and 9 runners of one price
    When an old report shows runner 4 idle and the others half full
    Then of 70 prompts sent before the next report at most 30 go to runner 4
    But with the policy "test_reported_idlest" all of them do

  # Symptom: half of what crosses between data centres are calls, and at 195 VMs
  # before 39 runners every second call opens a connection.
  # Cause: runners were drawn from all data centres alike.
  Scenario: Calls stay in their data centre while its runners are fast
    Given a router of data centre a, and 4 runners in each of a, b and c
    When 60 prompts come while all runners are idle
    Then all of them went to runners in a

  Scenario: Calls leave their data centre when its runners are busy
    Given a router of data centre a, and 4 runners in each of a, b and c
    When 60 prompts come while runners in a have 40000 tokens to read
    Then at least 55 of them went to runners in b or c

  Scenario: A data centre that has lost its runners sends to the others
    Given a router of data centre a, and 4 runners in each of a, b and c
    When 60 prompts come after all runners in a but one have gone
    Then runners in b and c got calls, and the one in a did, too
