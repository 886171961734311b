Feature: VMs ask the keeper of a service for the slots of its runners

  # Guards against calls that wait at one runner while another one is free.
  Scenario: More callers than slots
    Given 9 VMs that share 2 runners with 3 slots
    When 12 calls arrive within 0.001 seconds and take 0.03 seconds each
    Then no runner ever has more than 3 granted calls
    And all calls were granted a slot, some of them after a wait
    And no lease is left, and 3 messages were sent for each call that did not wait

  # Guards against callers that wait for a keeper that is not there.
  Scenario Outline: The keeper <fault>
    Given 9 VMs that share 2 runners with 3 slots
    And the keeper <fault>
    When a call arrives at another VM
    Then within 0.06 seconds the VM chooses a runner by itself
    And its next call is granted by another VM
    And no lease is left

    Examples:
      | fault                  |
      | is dead                |
      | is cut off             |
      | is slow                |
      | has its answers lost   |
      | gets requests late     |

  # Guards against slots that nobody can use any more.
  Scenario: Lost releases are made up for by the next request
    Given 9 VMs that share 1 runners with 2 slots
    When releases are lost for 2 calls of a VM
    Then the next calls of that VM are granted a slot

  Scenario: A cancelled call that waits gives its turn to the next one
    Given 9 VMs that share 1 runners with 1 slots
    When a call has the slot, and 2 more wait
    And the caller of the first waiting call goes away
    And the call that has the slot ends
    Then the last waiting call has the slot

  Scenario: A call stops waiting for a slot after an eighth of its objective
    Given 9 VMs that share 1 runners with 1 slots
    When a call has the slot, and 1 more wait
    Then the waiting call ends without a slot after 0.04 to 0.1 seconds

  Scenario Outline: A VM <fate> while it has leases
    Given 9 VMs that share 1 runners with 1 slots
    When a VM has the slot for a call of 0.1 seconds and <fate>
    Then the slot is granted to another VM

    Examples:
      | fate       |
      | is frozen  |
      | ends       |

  Scenario: A runner is restarted under its name
    Given 9 VMs that share 1 runners with 1 slots
    When a VM has the slot for a call of 1 seconds and the runner is restarted
    Then the new process of the runner is granted to another VM

  Scenario: A runner that rejects a call beside a free slot is passed over
    Given 9 VMs that share 2 runners with 2 slots
    When the runner of a granted call rejects it
    Then the next 2 calls are granted the other runner

  # Guards against slots granted twice for long, or lost, when a split ends.
  Scenario: Two keepers in a split
    Given 9 VMs that share 2 runners with 3 slots
    And the VMs are split in two parts
    When 30 calls arrive within 0.3 seconds and take 0.02 seconds each
    Then each part has a keeper that granted at most 3 calls at a time for a runner
    When the parts see each other again
    And 30 calls arrive within 0.3 seconds and take 0.02 seconds each
    Then no lease is left

  # Guards against slots that leak in a network that loses, repeats and delays
  # messages.
  Scenario: Messages are lost, repeated and late
    Given 9 VMs that share 2 runners with 3 slots
    And a third of the messages is lost, repeated or late
    When 120 calls arrive within 0.6 seconds and take 0.02 seconds each
    And the network is as before
    And all VMs send a call
    Then no lease is left

  # Guards against leases that are kept on one of the paths of a call's end.
  Scenario Outline: Leases come back when the runners <fault>
    Given 9 VMs that share 2 runners
    And the VMs grant slots, and the runners <fault>
    When each VM gets a call whose caller waits for 0.4 seconds
    Then slots were granted, and none is kept for a call

    Examples:
      | fault                    |
      | answers                  |
      | fails                    |
      | rejects calls            |
      | resets                   |
      | hangs                    |
      | are gone                 |

  Scenario: Services with slots for each VM are left alone
    Given 6 VMs that share 2 runners with 3 slots
    When a call arrives at another VM
    Then nothing was sent

  # Guards against a part that has an effect while it is off or only observes.
  Scenario Outline: In mode <mode> calls go where they would go without the part
    When 40 calls are placed in mode <mode>
    Then they go to the same runners as without messages
    And <asks> requests for slots were sent

    Examples:
      | mode    | asks |
      | off     | 0    |
      | observe | 40   |
