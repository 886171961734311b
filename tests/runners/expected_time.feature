Feature: Placement by expected time

  # Guards against VMs that judge runners alone, or compare two of them only:
  # with runners of uneven speed, long prompts miss their objectives at slow
  # runners while fast ones have room. News is 0.2 to 1 s old.
  Scenario: Uneven runners and many VMs
    Given 83 simulated VMs and 45 runners at 0.6, 1.0 and 1.6
    When calls come for 14 s under each policy
    Then expected_time has 2 in 100 more first events in time than today
    And expected_time has more of the longest prompts in time than the others
    And expected_time has 10 in 100 more first events in time than least_in_flight
    And no size of prompt is served worse than today by more than 1 in 100

  # Guards against a fleet that fills its fast runners and queues there.
  Scenario: Work is in proportion to speed
    Given 83 simulated VMs and 45 runners at 0.6, 1.0 and 1.6
    When twice the calls come for 14 s under each policy
    Then the work of each speed is within 15% of its share of the speed
    And it is closer to it than today

  # Guards against all VMs sending to the runner that seems fastest.
  Scenario: VMs do not herd
    Given 83 simulated VMs and 45 runners at 0.6, 1.0 and 1.6
    When twice the calls come for 14 s under each policy
    Then no fast runner gets more than 1.5 times the calls of the others

  Scenario: Runners that are all alike
    Given 83 simulated VMs and 45 runners all alike
    When calls come for 14 s under each policy
    Then expected_time is at most 1 in 100 worse than today

  Scenario: One runner at a fifth of the speed
    Given 83 simulated VMs and 45 runners of which one is at 0.2
    When calls come for 14 s under each policy
    Then the slow runner gets less work than today
    And expected_time is at most 1 in 100 worse than today

  # Guards against long prompts that are compared at runners which could not
  # serve them in time even if nothing waited there.
  Scenario: Very long prompts go to runners that are fast enough
    Given a router that knows runners at 0.6, 1.0 and 1.6
    When 60 prompts come that take 0.8 of their objective at mean speed
    Then none of them goes to a runner at 0.6
    And all of them go to the runner at 1.6 in the router's data centre
    When 40000 tokens wait there
    And 60 prompts come that take 0.8 of their objective at mean speed
    Then each other runner at 1.6 gets some of them, and no slower one does

  Scenario: Calls stay in their data centre if its runners are fast
    Given a router that knows runners at 0.6, 1.0 and 1.6
    When 60 prompts of 100 tokens come while all runners are idle
    Then all of them stay in the router's data centre
