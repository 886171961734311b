Feature: Status records that VMs exchange

  Scenario: A new VM that reaches one VM is soon known to all
    Given 7 VMs whose settings name only the first one
    When they exchange records for 2 seconds
    Then each peer table lists all others as alive

  Scenario: A VM that falls silent is not alive, but still a member
    Given 3 VMs whose settings name only the first one
    And they exchange records for 2 seconds
    When VM 3 falls silent for 2 seconds
    Then VM 1 counts 1 other as alive and 2 as members

  Scenario: A VM that announced its departure and fell silent has ended
    Given 3 VMs whose settings name only the first one
    And they exchange records for 2 seconds
    When VM 3 leaves and falls silent for 2 seconds
    Then VM 1 counts 1 other as alive and 1 as members

  # Symptom: a restarted VM's old counters are taken for its new ones.
  # Events: a datagram of the old process arrives after the new one's first.
  # Cause: records are ordered by sequence number alone, which starts anew.
  Scenario: A late record of a VM's former process is dropped
    Given 2 VMs whose settings name only the first one
    And they exchange records for 2 seconds
    When VM 2 restarts and a record of its former process arrives late
    Then VM 1 has the record of the new process

  # Symptom: after a pause, a VM sends callers to VMs that have ended.
  # Events: the process is paused for seconds and resumes with old records.
  # Cause: the age of records does not include the pause.
  Scenario: A VM whose process was paused treats all others as silent
    Given 3 VMs whose settings name only the first one
    And they exchange records for 2 seconds
    When VM 1 detects that its process was paused
    Then VM 1 counts 0 other as alive and 2 as members

  # Symptom: most fetches between VMs are refused in a fleet of 63.
  # Events: a VM knows more members than one record has receivers.
  # Cause: the sender is looked up only among the last record's receivers.
  Scenario: In a fleet larger than one record's receivers all are members
    Given 60 VMs whose settings name only the first one
    When they exchange records for 4 seconds
    Then each VM counts all others as members

  # Symptom: calls far below a customer's limit are refused in a fleet of 63.
  # Events: a VM gets no record of another one for 1.2 s and drops it.
  # Cause: the receivers of each record are drawn at random.
  Scenario: In a large fleet each VM gets records of all others regularly
    Given 63 VMs whose settings name only the first one
    And they exchange records for 6 seconds
    When they exchange records for another 10 seconds
    Then no VM waited for a record of another one for over 0.9 seconds

  # Guards against records that VMs of builds without the field can't read
  # while nobody is isolated.
  Scenario: A record names isolation only while its VM is isolated
    Given 2 VMs whose settings name only the first one
    Then the record of a VM that reaches runners has no field for isolation
    And the record of an isolated VM is read as such, and passed on at once
