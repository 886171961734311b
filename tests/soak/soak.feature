Feature: Soak test of real processes with injected faults

  Scenario: A short soak test with a fixed seed violates no guarantee
    When a soak test with seed 7 injects faults into 3 VMs and 6 runners for 4.0 s
    Then it made over 100 calls and violated no guarantee

  Scenario Outline: The checks detect a violated guarantee
    Given a recorded call <what>
    Then the checks report "<complaint>"

    Examples:
      | what                                      | complaint                |
      | to /once/ that ran twice                  | ran 2 times              |
      | to /once/ that was refused and ran        | but it ran               |
      | to /stream/ whose answer lacks an event   | unexpected event numbers |
      | to /stream/ that is complete too early    | complete answer with     |
      | to /stream/ with events of another call   | events of another call   |
      | to /safe/ with the answer to another call | wrong answer body        |
      | to /safe/ with bytes after its answer     | bytes after the answer   |
      | to /safe/ that was refused with 404       | refused with 404         |
      | to /safe/ in the quiet period, not served | in the quiet period      |
      | that was never sent                       | but was never sent       |

  Scenario: Repeating a call that may be repeated is no violation
    Given a recorded call to /safe/ that ran twice
    Then the checks report no violation

  # Guards against a soak whose VMs hear nothing of each other.
  Scenario: A task that fails in a VM's log is reported
    Given a VM's log with a failed task
    Then the failed task is reported

  Scenario: A short soak in which runners say things violates no guarantee
    When a soak test with seed 11 injects faults and statements for 4.0 s
    Then it made over 100 calls and violated no guarantee

  Scenario Outline: The checks detect a limit that is not kept
    Given a soak runner whose limit of 2 calls a second a VM was told
    And <what>
    Then the checks find that limit <outcome>

    Examples:
      | what                                               | outcome |
      | the VM sends 17 calls in 4 seconds                 | kept    |
      | the VM sends 18 calls in 4 seconds                 | broken  |
      | the VM sends 18 calls in 4 seconds within 3 seconds | kept   |
      | the VM sends 18 calls in 4 seconds after a restart | kept    |
      | another VM sends 18 calls in 4 seconds             | kept    |

  Scenario Outline: The checks detect calls to a runner that rests or leaves
    Given a soak runner that <said> a VM
    And <calls> calls of <vm> arrive <at> seconds later
    Then the checks find that word <outcome>

    Examples:
      | said                | calls | vm      | at  | outcome |
      | asked rest of       | 2     | that VM | 1.0 | kept    |
      | asked rest of       | 3     | that VM | 1.0 | broken  |
      | asked rest of       | 3     | that VM | 0.4 | kept    |
      | asked rest of       | 3     | that VM | 3.1 | kept    |
      | asked rest of       | 3     | another | 1.0 | kept    |
      | told of its leaving | 1     | that VM | 1.9 | kept    |
      | told of its leaving | 1     | that VM | 2.1 | broken  |
      | told of its leaving | 1     | another | 2.1 | kept    |

  Scenario: The fault plan depends only on the seed
    Then the plans of seed 7 are equal and that of seed 8 differs

  Scenario: The plan of cuts depends only on the seed
    Then the plans of cuts of seed 7 are equal and that of seed 8 differs

  Scenario Outline: The checks detect that VMs without runners serve badly
    Given a soak test in which VM vm-0 of two was cut off for 10 seconds
    And from <at> s after the cut began <there> of 30 calls to it were served
    And <others> of 30 calls to the other VM were served
    And beside the cut <beside>
    Then the checks of cuts report "<complaint>"

    Examples:
      | at  | there | others | beside                        | complaint            |
      | 3.0 | 18    | 30     | nothing else happened         | VMs without runners  |
      | 3.0 | 19    | 30     | nothing else happened         | nothing              |
      | 3.0 | 20    | 30     | nothing else happened         | nothing              |
      | 3.0 | 0     | 0      | nothing else happened         | nothing              |
      | 2.0 | 0     | 30     | nothing else happened         | nothing              |
      | 3.0 | 0     | 30     | the other VM was killed       | nothing              |
      | 3.0 | 0     | 30     | the VMs were reloaded         | VMs without runners  |
      | 3.0 | 0     | 30     | the other VM was cut off      | nothing              |
      | 3.0 | 30    | 30     | a list of VMs was empty       | lists of VMs         |

  Scenario Outline: The checks detect calls that go on without their callers
    Given a soak test in which <count> callers left after 0.2 seconds
    And their calls ran from <began> to <ended> s after they were sent
    And the sending VM <state>
    Then the checks of cuts report "<complaint>"

    Examples:
      | count | began | ended | state         | complaint        |
      | 4     | 0.1   | 0.6   | was connected | nothing          |
      | 4     | 0.1   | 0.8   | was connected | 4 of 4 calls ran |
      | 3     | 0.1   | 0.8   | was connected | nothing          |
      | 4     | 0.8   | 1.0   | was connected | 4 calls reached  |
      | 4     | 0.1   | 0.8   | was cut off   | nothing          |

  Scenario: A short soak with cuts violates no guarantee
    When a soak test with seed 33 injects faults and cuts for 4.0 s
    Then it made over 100 calls and violated no guarantee

  # Guards against runners that fall over and over as VMs send each of them
  # more calls than it can turn away.
  Scenario: A short soak of fragile runners violates no guarantee
    When a soak test with seed 15 makes runners fragile and injects no faults
    Then it made over 100 calls and violated no guarantee
