Feature: Duties

  Scenario: All VMs with the same view choose the same responsible VM
    Given a duty view of 7 VMs in 3 data centres
    Then each duty has one responsible VM, in its own data centre

  Scenario: A duty of a lost data centre moves to another
    Given a duty view of 7 VMs in 3 data centres
    When the duty view loses data centre "d0"
    Then each duty has one responsible VM, also the duties of "d0"

  Scenario: A leaving VM is responsible for no duty
    Given a duty view of 7 VMs in 3 data centres
    When the VM responsible for duty "capacity/d0" starts to leave
    Then another VM is responsible for duty "capacity/d0"

  Scenario: Only the responsible VM calls the store
    Given a duty view of 7 VMs in 3 data centres
    When every VM follows the duty view for 60 s
    Then each duty lease is held by the responsible VM only
    And the store received 3 calls for each duty lease, and its renewals

  Scenario: A stopping VM releases its duties
    Given a duty view of 7 VMs in 3 data centres
    When every VM follows the duty view for 60 s
    And the VM responsible for duty "capacity/d0" releases its duties
    Then that VM must not order for duty "capacity/d0" any more
