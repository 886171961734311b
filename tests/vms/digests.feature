Feature: Records that VMs tell each other

  Scenario: A newcomer that reaches one VM is soon known to all
    Given 7 VMs of which only the first is in everybody's settings
    When they tell each other for 2 seconds
    Then each hears all others

  Scenario: A VM that falls silent is taken out, and counted as a member
    Given 3 VMs of which only the first is in everybody's settings
    And they tell each other for 2 seconds
    When VM 3 falls silent for 2 seconds
    Then VM 1 hears 1 other and counts 2 members

  Scenario: A VM that said that it leaves has ended when it falls silent
    Given 3 VMs of which only the first is in everybody's settings
    And they tell each other for 2 seconds
    When VM 3 leaves and falls silent for 2 seconds
    Then VM 1 hears 1 other and counts 1 members

  # Symptom: a restarted VM's old counters are taken for its new ones.
  # Events: a datagram of the old process arrives after the new one's first.
  # Cause: records ordered by number alone, which begins anew.
  Scenario: A late record of a VM's former process is dropped
    Given 2 VMs of which only the first is in everybody's settings
    And they tell each other for 2 seconds
    When VM 2 restarts and a record of its former process comes late
    Then VM 1 knows the new process

  # Symptom: a VM that was frozen sends callers to VMs that ended meanwhile.
  # Events: it stands still for seconds and wakes with all its memories fresh.
  # Cause: silence measured only by records that came.
  Scenario: A VM that stood still hears nobody until it hears anew
    Given 3 VMs of which only the first is in everybody's settings
    And they tell each other for 2 seconds
    When VM 1 notices that it stood still
    Then VM 1 hears 0 other and counts 2 members

  # Symptom: fetches between VMs are refused as a stranger's, most of them in
  # a fleet of 63.
  # Events: a VM knows more members than one record goes to.
  # Cause: who asks is looked up among the receivers drawn for a record.
  Scenario: In a fleet larger than one record's receivers all are members
    Given 60 VMs of which only the first is in everybody's settings
    When they tell each other for 4 seconds
    Then each knows all others as members

  # Symptom: calls far below a customer's limit are refused in a fleet of 63.
  # Events: some VM does not hear another one for 1.2 s and takes it for gone.
  # Cause: who hears a record is left to chance.
  Scenario: In a large fleet each VM hears each other one at regular times
    Given 63 VMs of which only the first is in everybody's settings
    And they tell each other for 6 seconds
    When they go on for 10 seconds
    Then no VM was silent to another one for over 0.9 seconds
