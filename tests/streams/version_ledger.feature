Feature: The versions whose streams may be alive, by the store's record

  Scenario: A version is recorded before a stream begins there
    Given a VM's ledger of versions
    When the VM sees runners "s@v1"
    Then "s@v1" are held
    And the record becomes "v1:serving"
    And nothing is held

  # Guards against runners that stand idle as the store refuses writes.
  Scenario: A version is held for a while only
    Given a VM's ledger of versions
    When the VM sees runners "s@v1"
    And the record is brought up to date
    And the VM sees runners "s@v1 s@v2"
    And 1 seconds go by for the ledger
    Then "s@v2" are held
    When 1 seconds go by for the ledger
    Then nothing is held

  # Guards against a record that was read before the version appeared, and may
  # have been changed since.
  Scenario: A record that was asked for earlier admits nothing
    Given a VM's ledger of versions
    When the VM asks for the record "v1:serving"
    And 1 seconds go by for the ledger
    And the VM sees runners "s@v1"
    And the answer comes
    Then "s@v1" must be read again

  Scenario: A version is removed once its streams are over
    Given a VM's ledger of versions
    When the VM sees runners "s@v1 s@v2"
    And the record is brought up to date
    And the VM sees runners "s@v2"
    And 4 seconds go by for the ledger
    Then the record stays "v1:serving v2:serving"
    When 1 seconds go by for the ledger
    Then the record becomes "v1:gone v2:serving"
    When 39 seconds go by for the ledger
    Then the record stays "v1:gone v2:serving"
    When 1 seconds go by for the ledger
    Then the record becomes "v2:serving"

  # Guards against a removal by a VM that slept while the version was back.
  Scenario: The time that a VM did not watch does not count
    Given a VM's ledger of versions
    When the VM sees runners "s@v1 s@v2"
    And the record is brought up to date
    And the VM sees runners "s@v2"
    And 5 seconds go by for the ledger
    Then the record becomes "v1:gone v2:serving"
    When 39 seconds go by for the ledger
    And the VM wakes
    And 39 seconds go by for the ledger
    Then the record stays "v1:gone v2:serving"

  # Guards against a VM that removes a version which another one has begun to
  # use again.
  Scenario: A version that is gone is written again before a stream begins
    Given a VM's ledger of versions
    When the VM asks for the record "v1:gone"
    And the answer comes
    And the VM sees runners "s@v1"
    Then "s@v1" are held
    And the record becomes "v1:serving"
    And nothing is held

  # Guards against a VM that has just started and takes what it sees for all.
  Scenario: A VM that has just started goes by the record
    Given a VM's ledger of versions
    When the VM sees runners "s@v2"
    Then the versions of "s" are not known
    When the VM asks for the record "v1:gone v2:serving"
    And the answer comes
    Then the versions of "s" are known as "s@v1 s@v2"
    When the VM wakes
    Then the versions of "s" are not known

  # Guards against a removal beside a use, whatever the order of reads, writes,
  # releases, sleeps and restarts of the VMs.
  Scenario: The record names each version that may have a living stream
    Then random VMs never miss a version with a living stream
