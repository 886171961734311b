Feature: Required runners by their learned speed

  # Guards against twice the runners that callers need, where a first event takes
  # 53 ms without any prefill and the observed peak shows a fifth of the speed.
  Scenario: A fifth of the cost is saved where the observed peak is wrong
    Given a service with 53 ms before each first event
    When its fleet is played for 60 seconds in mode on and in mode off
    Then 31 runners are required instead of 53
    And the cost in mode on is at most four fifths of that in mode off
    And all runners together are used below 0.6

  # Guards against a part that changes orders although an operator has turned it
  # off or only wants to compare.
  Scenario Outline: The observed peak alone decides unless the part is on
    Given a service with 53 ms before each first event
    When its fleet is played for 60 seconds in mode <mode> and without the part
    Then the orders are the same
    And the log has <logged>

    Examples:
      | mode    | logged                       |
      | off     | measured=53                  |
      | observe | measured=53 and by_latency=31 |

  Scenario: Nothing changes where the observed peak is right
    Given a service whose observed peak is its prefill speed
    When its fleet is played for 60 seconds in mode on and in mode off
    Then the required numbers differ by at most 1

  # Guards against a fleet that jumps between two sizes, while the observed peak
  # moves over a bound.
  Scenario: The required number has no steps
    Given a service whose observed peak is its prefill speed
    Then a change of the observed peak by 1 in 100 changes no required number by more than 1 in 10

  # Guards against a number that counts slow runners as fast ones: the fast ones
  # are reclaimed, and the others prefill three quarters as much each.
  Scenario: Slower runners are counted by their speed
    Given a service with runners at 0.6, 1.0 and 1.6 of the speed in equal parts
    When its fleet is played for 60 seconds in mode on
    And the fast runners are gone
    Then the required number rises by a third

  # Guards against calls without a slot in a burst before more runners have
  # booted.
  Scenario Outline: A burst of 1.6 times finds free slots and free prefill
    Given <service>
    When its fleet is played for 60 seconds in mode on
    And callers send 1.6 times as much for 5 seconds
    Then all runners together are used below 0.9
    And the calls leave three standard deviations of slots free at the runners that were required before

    Examples:
      | service                                                                |
      | a service with 53 ms before each first event                           |
      | a service with runners at 0.6, 1.0 and 1.6 of the speed in equal parts |

  # Guards against first events after their objective when two data centres lose
  # their reclaimable runners: the smaller fleet must still bridge it.
  Scenario Outline: Two reclaims are bridged
    Given <service>
    And at most <most> runners in each data centre
    When its fleet is played for 60 seconds in mode on
    And reclaimable runners are reclaimed in two data centres within <gap> seconds and are unavailable for 14 seconds
    Then all runners together are used below 0.9

    Examples:
      | service                                                                | most | gap |
      | a service with 53 ms before each first event                           | 12   | 6   |
      | a service with 53 ms before each first event                           | 15   | 6   |
      | a service with 53 ms before each first event                           | 60   | 6   |
      | a service with 53 ms before each first event                           | 60   | 2   |
      | a service with runners at 0.6, 1.0 and 1.6 of the speed in equal parts | 12   | 6   |
      | a service with runners at 0.6, 1.0 and 1.6 of the speed in equal parts | 15   | 6   |
      | a service with runners at 0.6, 1.0 and 1.6 of the speed in equal parts | 60   | 6   |
      | a service with runners at 0.6, 1.0 and 1.6 of the speed in equal parts | 60   | 2   |

  # Guards against orders by defaults: a holder that has just started knows
  # neither the speeds nor the sizes.
  Scenario Outline: Without enough samples the observed peak decides
    Given a service with 53 ms before each first event
    And a holder of the duty without samples of <what>
    When its fleet is played for 60 seconds in mode on and without the part
    Then the orders are the same

    Examples:
      | what           |
      | the speeds     |
      | the sizes      |
      | usable numbers |

  # Guards against a fleet without runners for its prompts, while a few scattered
  # samples suggest that a token takes no time.
  Scenario: A learned time per token near 0 does not remove the prefill's need
    Given a service without calls in flight whose tokens seem to take no time
    When its fleet is played for 60 seconds in mode on
    Then at least an eighth of what the observed peak asks for is required

  # Guards against messages of fleets that have no use for the sizes.
  Scenario Outline: Sizes of prompts are sent only where they are used
    Given a service with 53 ms before each first event
    When a VM in mode <mode> sends a prompt to a service <kind>
    Then it sends the sizes of <count> prompts to the other VMs

    Examples:
      | mode    | kind                          | count |
      | on      | with runners that are ordered | 1     |
      | observe | with runners that are ordered | 1     |
      | off     | with runners that are ordered | 0     |
      | on      | with fixed runners            | 0     |
