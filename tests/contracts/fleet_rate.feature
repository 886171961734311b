Feature: A customer's limit that all VMs keep together

  Scenario: What one VM leaves another may use
    Given 3 VMs that share a limit of 100 a second and a burst of 100
    When VM 1 has let in 150 units over 5 seconds and told it
    Then VM 2 lets in 85 units at once

  # Symptom: a customer gets twice its limit while the fleet is cut in two.
  # Events: the link between VMs breaks; each side hears nothing of what the
  # other lets in, and refills a bucket of the whole limit.
  # Cause: silence taken for absence of use.
  Scenario Outline: Both sides of a broken network together keep the limit
    Given <vms> VMs that share a limit of 100 a second and a burst of 100
    And they have told each other for 5 seconds
    When the first <cut> of them lose the others and all ask for 20 seconds
    Then together they let in at most what the limit and one interval allow

    Examples:
      | vms | cut |
      | 2   | 1   |
      | 7   | 2   |
      | 7   | 3   |

  Scenario: One VM alone in a fleet has the whole limit
    Given 1 VMs that share a limit of 100 a second and a burst of 100
    When VM 1 asks for 10 seconds
    Then VM 1 has let in at least 900 units

  Scenario: A call that did not run gives its units back
    Given 1 VMs that share a limit of 100 a second and a burst of 100
    And they have told each other for 5 seconds
    When VM 1 lets in 50 units and gives 50 back
    Then VM 1 lets in 50 units at once

  Scenario: The sum over all VMs stays within the limit, against a naive rival
    Then shared counting keeps within the limit and refuses less than equal parts

  # Symptom: one customer's limit is exceeded by two bursts in a window.
  # Events: all VMs are killed at once, and each begins with a burst of its
  # own; or all see a full bucket and let in a flood until they hear of it.
  # Cause: what others let in at the same moment is not known yet.
  Scenario Outline: A flood at all VMs stays near the limit
    Given <vms> VMs that share a limit of 100 a second and a burst of 100
    When all of them <event> and are flooded for 8 seconds
    Then together they let in at most 1.1 times the limit of that time

    Examples:
      | vms | event             |
      | 7   | have just started |
      | 20  | have just started |

  Scenario: A process that starts learns what is left, once
    Given 3 VMs that share a limit of 100 a second and a burst of 100
    When a VM starts and learns that 80 are left, then that 10 are left
    Then it lets in 75 units and not 20 more

  # Symptom: calls are refused in the seconds after a power loss, or all
  # processes let in a burst each.
  # Events: all processes start at once and read the same notes.
  # Cause: what is left taken by each for itself, or by nobody.
  Scenario: Processes that start together share what they learn
    Given 7 VMs that share a limit of 100 a second and a burst of 100
    When all of them start anew, learn that 90 are left and are flooded
    Then they let in at least 80 units and at most 150 in the first second

  # Symptom: in a fleet whose VMs are restarted in turn an eighth of all calls
  # is refused, all of them within their limits.
  # Events: a process hears seconds after its start, by an aggregator, what
  # another one has let in since its own start, long ago.
  # Cause: all of that taken for calls of this moment.
  Scenario: What a process let in before it was met is not charged
    Given 20 VMs that share a limit of 100 a second and a burst of 100
    When a VM that started 5 seconds ago hears of 5000 units of another one
    Then it lets in 80 units

  # The same where an aggregator was frozen and tells what was true before.
  Scenario: Totals that are told on late are no calls given back
    Given 20 VMs that share a limit of 100 a second and a burst of 100
    When totals of 1000, of 400 and of 1010 units are told on to a VM
    Then it lets in 80 units

  # Symptom: in a fleet of 195 of which VMs are restarted in turn, calls within
  # their limit are refused for seconds.
  # Events: the process that starts keeps the limit for all, and begins with an
  # eighth of what is left; some VM is silent at any time.
  # Cause: the rest was only counted on once nobody was silent.
  Scenario: A process that starts while a VM is silent counts on what is left
    Given 20 VMs that share a limit of 100 a second and a burst of 100
    When a VM starts alone, learns that 80 are left and hears all but one
    Then it lets in 80 units

  # Symptom: a customer that asks for twice its limit gets less than it: of
  # what the limit allowed, a tenth was refused.
  # Events: two VMs let calls in at the same moment, each with all that was
  # left; when they hear of each other both are in debt, and refuse the calls
  # that the limit has room for.
  # Cause: what came in too much by late news was taken from later calls.
  Scenario: Late news does not refuse the calls that come next
    Given 2 VMs that share a limit of 100 a second and a burst of 100, and 400 to spare
    When both let in 90 units at the same moment and tell it
    And they have told each other for 1 seconds more
    Then VM 1 lets in 80 units at once

  Scenario: Without anything to spare it does
    Given 2 VMs that share a limit of 100 a second and a burst of 100, and 0 to spare
    When both let in 90 units at the same moment and tell it
    And they have told each other for 1 seconds more
    Then VM 1 does not let in 80 units

  Scenario Outline: What is spared is bounded, however long the flood
    Given <vms> VMs that share a limit of 100 a second and a burst of 100, and 400 to spare
    And they have told each other for 5 seconds
    When all of them are flooded for <seconds> seconds
    Then together they let in at most the limit of that time and a quarter of 400 more

    Examples:
      | vms | seconds |
      | 2   | 8       |
      | 7   | 8       |
      | 7   | 60      |
      | 20  | 30      |

  Scenario: A fleet of seven keeps up with one counter for all
    Then of what one counter lets in, seven VMs refuse less with some to spare
