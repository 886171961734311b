Feature: Target utilization of runners

  # Guards against first events after their objective, and against runners that
  # are paid for without need.
  Scenario: The prefill target is the highest that meets the objective
    Then at each prefill target the mean first event comes within half of the objective
    And at a target that is higher by a hundredth it does not, or the limit is reached

  # Guards against calls that find no slot in a burst of 1.6 times, and against
  # a fifth of the slots where a runner has many.
  Scenario: The slot target leaves slots free in a burst
    Then the slot target equals the result of a search for runners of 1 to 300 slots

  Scenario: An objective that no number of runners meets does not ask for all
    Then an objective shorter than the time without prefill gives a target of 0.2
