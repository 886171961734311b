Feature: Duties

  Scenario: All VMs with one view name the same holder
    Given a duty view of 7 VMs in 3 data centres
    Then each duty has one holder, in its own data centre

  Scenario: A duty of a lost data centre moves to another
    Given a duty view of 7 VMs in 3 data centres
    When the duty view loses data centre "d0"
    Then each duty has one holder, also those of "d0"

  Scenario: A leaving VM holds no duty
    Given a duty view of 7 VMs in 3 data centres
    When the holder of duty "capacity/d0" leaves the view
    Then duty "capacity/d0" has another holder

  Scenario: Only the holder asks the store
    Given a duty view of 7 VMs in 3 data centres
    When every VM of the duty view looks at it for 60 s
    Then each duty is held by the VM named
    And the store saw 3 calls for each duty lease, and its renewals

  Scenario: A stopping VM gives its duties back
    Given a duty view of 7 VMs in 3 data centres
    When every VM of the duty view looks at it for 60 s
    And the holder of duty "capacity/d0" gives its duties back
    Then it orders nothing for duty "capacity/d0" at once
