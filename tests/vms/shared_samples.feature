Feature: Counts that VMs add up over the fleet

  # Guards against counts that are lost or added twice on their way through
  # aggregators. A VM that changes its aggregator at that moment may get them
  # from both or from none.
  Scenario Outline: What each VM has counted reaches all others once
    Given <vms> VMs in 3 data centres that know each other
    When each VM counts 3 calls at one runner
    And the fleet runs for 5 seconds
    Then each VM that kept its aggregator has received 3 calls of every other VM

    Examples:
      | vms |
      | 7   |
      | 61  |
      | 195 |

  # Guards against messages that grow with the number of runners.
  Scenario: A record has a limited number of keys, and the rest follows
    Given a buffer with counts of 150 keys
    Then it gives 64, 64 and 22 keys in turn, and none after them

  Scenario: Counts of another length replace the known ones
    Given a buffer with counts of 1 key
    When 3 counts of the same key are added
    Then it gives the 3 counts

  # Guards against VMs of two builds that refuse each other's records during a
  # rolling upgrade, and against longer messages while there is nothing to tell.
  Scenario Outline: Last fields that are empty are left out of a message
    When the <message> without samples, notices and refusals is encoded
    Then it ends with the field trials
    And decoding it gives the same message
    When it has samples and nothing after them
    Then it ends with the field samples
    And decoding it gives the same message

    Examples:
      | message   |
      | record    |
      | aggregate |
