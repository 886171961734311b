Feature: The runners that one VM considers alive

  Scenario: A runner that is leaving gets no new work
    Given a directory with the runners r1 and r2
    When the store says that r1 is leaving
    Then new work goes to r2 alone

  Scenario: A runner whose entry is removed is dropped soon
    Given a directory with the runners r1 and r2
    When the store removes the entry of r1
    Then after 0.5 seconds new work goes to r2 alone

  # Guards against losing 14 of 16 runners when the store recovers after 4 s of
  # silence: entries expire, the waiting watch delivers their removals, and no
  # failed call reveals the outage.
  Scenario: Many removals at once without a notice count as expired entries
    Given a directory with 10 more runners
    When the store removes 6 of them at once
    Then after 1.2 seconds 12 runners take new work
    And after 0.2 seconds 6 runners take new work

  # Guards against calls to a runner 2.18 s after it left: three reclaimable
  # runners leave without a notice, their removals count as expired entries and
  # are delayed for 2 s, and one more removal extends the delay.
  Scenario: Later removals don't extend the delay of earlier ones
    Given a directory with 10 more runners
    When the store removes 6 of them at once
    And the store removes the entry of r1
    And 1.1 seconds pass at the directory and the store removes r2
    Then after 0.3 seconds 5 runners take new work

  Scenario: A runner that announced that it is leaving is removed at once
    Given a directory with the runners r1 and r2
    When the store says that r1 is leaving
    And the store removes the entry of r1
    Then r1 is removed

  # Guards against losing all runners after an outage of the store: entries
  # expire while runners can't write them, and the list is nearly empty for a
  # moment when the store recovers.
  Scenario: Entries that expired during an outage are waited for
    Given a directory with the runners r1 and r2
    When the store recovers without r1
    Then new work goes to r1 and r2
    And after 2.1 seconds new work goes to r2 alone

  Scenario: A runner whose entry is restored in time is kept
    Given a directory with the runners r1 and r2
    When the store recovers without r1
    And the entry of r1 is written again
    Then after 2.1 seconds new work goes to r1 and r2

  Scenario: A leaving runner is not waited for after an outage
    Given a directory with the runners r1 and r2
    When the store says that r1 is leaving
    And the store recovers without r1
    Then r1 is removed

  # Guards against calls to a runner that has left: a peer that was cut off
  # sends its outdated entry after the removal.
  Scenario: An outdated entry from a peer does not restore a runner
    Given a directory with the runners r1 and r2
    When the store removes the entry of r1
    Then after 0.5 seconds new work goes to r2 alone
    When a peer sends its outdated entry of r1
    Then new work goes to r2 alone

  Scenario: Newer changes from a peer are applied
    Given a directory with the runners r1 and r2
    When a peer sends the removal of r1 and the entry of r3
    Then new work goes to r2 and r3

  # Guards against calls to a runner 2.5 s after it left: a removal recorded at
  # the revision of the entry's last change does not raise the revision, so
  # that the VMs that don't follow the store never request it.
  Scenario: A removal that one VM receives from the store reaches its peers
    Given two VMs' directories that follow the store and each other
    When the watch of one delivers the removal of r1
    And one removes r1 after 0.5 seconds
    Then the other has an older revision, and learns that r1 is removed
    And both have the same revision afterwards

  # Guards against calls to a runner 2.02 s after it left: a VM that had lost
  # the store delays a removal for 2 s but sends later changes. A third VM then
  # has the later revision, and never requests the removal.
  Scenario: A removal that one VM delays still reaches the others
    Given two VMs' directories that follow the store and each other
    When one delays the removal of r1 and sends the entry of r3
    Then the other's runners are those of one
    And both differ from a third that has applied the removal
    And with all changes from the third both apply it, too

  Scenario: A delayed removal is sent with its own revision
    Given two VMs' directories that follow the store and each other
    When one delays the removal of r1 and sends the entry of r3
    And one removes r1 after 2.1 seconds
    Then one sends the removal with its revision 7

  # Guards against calls to a runner 2 to 4 s after it left: while a removal is
  # delayed, a peer that has not received it sends all its entries, with the
  # runner at the known revision. That must not cancel the removal.
  Scenario: A peer that has not received a removal does not cancel it
    Given a directory with the runners r1 and r2
    When the store removes the entry of r1
    And a peer sends its outdated entry of r1
    Then after 0.5 seconds new work goes to r2 alone

  # Guards against losing all runners for 4 s, 2.6 s after an outage: a VM has
  # the rewritten entries from its peers when its watch delivers the removals.
  # These must not count as newer than the entries.
  Scenario: A watch that is behind the peers removes no runner
    Given a directory with the runners r1 and r2
    When a peer sends the rewritten entry of r1
    And a watch delivers the removal of r1 and its rewritten entry
    Then after 2.1 seconds new work goes to r1 and r2

  Scenario: A removal that is older than the entry is ignored
    Given a directory with the runners r1 and r2
    When a peer sends the rewritten entry of r1
    And a watch delivers the removal of r1 alone
    Then after 2.1 seconds new work goes to r1 and r2

  Scenario: A removal that follows a rewritten entry is applied
    Given a directory with the runners r1 and r2
    When a watch delivers the rewritten entry of r1 and its removal
    Then after 2.1 seconds new work goes to r2 alone

  Scenario: A runner gets no new work from a notice on
    Given a directory with the runners r1 and r2
    When a notice says that r1 is leaving at revision 5
    Then new work goes to r2 alone
    And the revision and the checksum are as before

  # Guards against a runner that gets no work although its entry says that it
  # takes some, as a notice was wrong or outdated.
  Scenario Outline: An entry as new as the notice decides
    Given a directory with the runners r1 and r2
    When a notice says that r1 is leaving at revision 5
    And a peer sends the entry of r1 with revision <revision>
    Then new work goes to <names>

    Examples:
      | revision | names     |
      | 4        | r2 alone  |
      | 5        | r1 and r2 |
      | 8        | r1 and r2 |

  Scenario: A notice that is older than the entry is ignored
    Given a directory with the runners r1 and r2
    When a peer sends the entry of r1 with revision 8
    And a notice says that r1 is leaving at revision 5
    Then new work goes to r1 and r2

  Scenario: An entry that is readable again ends a notice of its fault
    Given a directory with the runners r1 and r2
    And another VM's directory in which the entry of r1 is unreadable
    When the notices of the other VM arrive
    Then new work goes to r2 alone
    When the entry of r1 becomes readable again at both VMs
    And the notices of the other VM arrive
    Then new work goes to r1 and r2

  Scenario: A restarted runner is not marked by notices of its last start
    Given a directory with the runners r1 and r2
    When a notice says that r1 is leaving at revision 5
    And r1 restarts under its name with revision 6
    And a notice says that r1 is leaving at revision 9
    Then new work goes to r2 and r1@70

  Scenario: A notice that no entry confirms expires
    Given a directory with the runners r1 and r2
    When a notice says that r1 is leaving at revision 900
    Then after 19.0 seconds marks expired are no
    And after 1.5 seconds marks expired are yes
    And new work goes to r1 and r2

  # Guards against a VM that takes a runner for one of another version for good.
  Scenario: Directories that differ in a runner's version differ
    Given two directories with one runner, as v1 and as v2
    Then their checksums differ
    And its streams have different origins
