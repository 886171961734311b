Feature: Performance of runners

  # Guards against learning the base time only from short prompts: with a base
  # of 53 ms, runners of 91,800 tokens a second looked several times slower.
  Scenario: The line through prompts of mixed sizes
    Given 1 VM and 4 runners of speed 1.0
    When 200 idle calls have a base of 53 ms and 91800 tokens a second
    Then the base is 53 ms and the speed 91800 tokens a second within 2%
    When 300 s pass without calls
    Then the service has the default latency

  Scenario: Too few samples, or prompts all alike, give the defaults
    Given 1 VM and 4 runners of speed 1.0
    When 19 idle calls have a base of 53 ms and 91800 tokens a second
    Then the service has the default latency
    When 200 idle calls are all alike
    Then the service has the default latency

  # Guards against each VM learning alone, which takes minutes, and against
  # moments of slowness that move the estimate.
  Scenario Outline: Slowness after 50 calls of each runner
    Given <vms> VMs and 45 runners of speeds 0.6, 1.0 and 1.6
    When each runner answers 50 calls with moments of slowness
    Then 95 in 100 slownesses at each VM are within 10% of the true ones
    And the median slowness is 1.0

    Examples:
      | vms |
      | 7   |
      | 83  |

  Scenario Outline: Slowness of streams and plain calls
    Given 7 VMs and 9 runners of speeds 0.6, 1.0 and 1.6
    When each runner answers 80 <phase> calls with moments of slowness
    Then 85 in 100 <phase> slownesses are within 10% of the true ones

    Examples:
      | phase  |
      | decode |
      | plain  |

  # Guards against judging a new process by an old one of the same name.
  Scenario: A restarted runner begins without samples
    Given 7 VMs and 45 runners of speeds 0.6, 1.0 and 1.6
    When each runner answers 50 calls with moments of slowness
    And the first runner restarts
    Then its slowness is 1.0 without samples
    And samples of its former process are ignored

  # Guards against a VM with a fault, or of another version, that spoils the
  # estimates of the whole fleet.
  Scenario: Invalid values of a peer
    Given 1 VM and 4 runners of speed 1.0
    When 200 idle calls have a base of 53 ms and 91800 tokens a second
    Then no invalid sample of a peer changes anything, and each is counted

  Scenario: Samples of all VMs that are added up equal those of one VM
    Then the sums agree with a plain calculation for any calls

  # Guards against an estimate that is kept although nobody calls the runner.
  Scenario: Slowness returns to the prior
    Given 7 VMs and 45 runners of speeds 0.6, 1.0 and 1.6
    When each runner answers 50 calls with moments of slowness
    And 300 s pass without calls
    Then all slownesses are within 1% of 1.0

  # Guards against taking a runner for slow that is full, far from a copied
  # prefix, or broken; other detectors are responsible for these.
  Scenario: Calls that say nothing of their runner's speed
    Given meters of a VM in the mode on
    Then a call to a full runner leaves no samples
    And a stream that was cut off leaves no pace
    And a failed plain call leaves no samples
    And a call behind a long queue leaves no samples
    And an answered plain call leaves a sample

  Scenario: A change of a quarter is reported once
    Given 7 VMs and 45 runners of speeds 0.6, 1.0 and 1.6
    When each runner answers 50 calls with moments of slowness
    Then the 30 uneven runners are reported once, and no others

  Scenario: The mode off is today's behaviour, and observe routes the same
    Given VMs in the modes off, observe and on
    When 300 calls are sent to runners of which one is slow
    Then the VMs in the modes off and observe choose as a router without it
    And only the VMs in the modes observe and on have samples and metrics
    And the VM in the mode on sends less to the slow runner
