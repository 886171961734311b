Feature: The choice of the VM that runs a call for an isolated one

  Scenario: Helpers of the same data centre go first
    Given an isolated VM, 3 others in its data centre and 3 elsewhere
    When 200 helpers are chosen
    Then all are in its data centre and each of 3 was chosen

  Scenario: Helpers elsewhere are chosen if there are none near
    Given an isolated VM, 0 others in its data centre and 3 elsewhere
    When 200 helpers are chosen
    Then none is in its data centre and each of 3 was chosen

  # Guards against one VM that has to run the calls of its whole data centre.
  Scenario: Helpers elsewhere are chosen if the only near one is far busier
    Given an isolated VM, 1 others in its data centre and 3 elsewhere
    When 400 calls are forwarded that don't end
    Then both data centres run some, and no helper runs more than 250

  Scenario: Of two random helpers the less loaded one is chosen
    Given an isolated VM, 6 others in its data centre and 0 elsewhere
    When 60 calls are forwarded that don't end
    Then each helper runs from 8 to 12

  Scenario Outline: A VM that can't help is never chosen
    Given an isolated VM, 2 others in its data centre and 0 elsewhere
    And the first other VM <state>
    When 100 helpers are chosen
    Then all are the second other VM

    Examples:
      | state           |
      | is not ready    |
      | leaves          |
      | is isolated     |
      | is silent       |
      | has just failed |
      | is excluded     |

  Scenario: A VM that failed is chosen again after its pause
    Given an isolated VM, 1 others in its data centre and 0 elsewhere
    And the first other VM has just failed
    When 1 helpers are chosen
    Then there is none
    When the pause of the VM is over
    And 1 helpers are chosen
    Then all are the first other VM

  # Guards against a last helper that is kept busy by refusing calls.
  Scenario: A helper that keeps refusing is asked more and more rarely
    Given an isolated VM, 1 others in its data centre and 0 elsewhere
    When the other VM refuses for 0.25 s whatever it is asked for 20 seconds
    Then it was asked after 0, 0.25, 0.75, 1.75, 3.75, 7, 10.25, 13.5, 16.75 s
    When the other VM takes a call and refuses the next one
    Then its pause is 0.25 s again

  # Guards against a cost of each call that grows with the fleet.
  Scenario: A choice costs the same in a fleet of 3500 VMs
    Given an isolated VM, 1749 others in its data centre and 1750 elsewhere
    When 1000 helpers are chosen and records are counted that are looked at
    Then at most 8 records were looked at for a choice

  Scenario: Any choice is a VM that may help, and there is one if any may
    Then it holds for any fleet and any calls in flight
