Feature: Which runners there are, as one VM believes

  Scenario: A runner that is leaving takes no new work
    Given a directory with the runners r1 and r2
    When the store says that r1 is leaving
    Then new work goes to r2 alone

  Scenario: A runner whose entry is removed is gone soon
    Given a directory with the runners r1 and r2
    When the store removes the entry of r1
    Then after 0.5 seconds new work goes to r2 alone

  # Symptom: 2 of 16 runners are left when the store is back.
  # Events: the store is silent for 4 s; entries lapse; a watch that waited all
  # the while brings their removals, and no call has failed.
  # Cause: an outage noticed only by calls that fail.
  Scenario: Many removals at once without a notice are a lapse
    Given a directory with 10 more runners
    When the store removes 6 of them at once
    Then after 1.2 seconds 12 runners take new work
    And after 0.2 seconds 6 runners take new work

  # Symptom: a call reaches a runner 2.18 s after it has left.
  # Events: a data centre's three reclaimable runners go without a notice; the
  # removals are taken for a lapse and held for 2 s, one more comes meanwhile.
  # Cause: a doubt that lasts as long as the time to leave the runner.
  Scenario: Removals that follow each other extend no doubt
    Given a directory with 10 more runners
    When the store removes 6 of them at once
    And the store removes the entry of r1
    And 1.1 seconds pass at the directory and the store removes r2
    Then after 0.3 seconds 5 runners take new work

  Scenario: A runner that said that it leaves is gone at once
    Given a directory with the runners r1 and r2
    When the store says that r1 is leaving
    And the store removes the entry of r1
    Then r1 is gone

  # Symptom: all runners are lost after an outage of the store.
  # Events: entries lapse while runners can't write; the store comes back and
  # its list is nearly empty for a moment.
  # Cause: a lapsed entry taken for an ended runner.
  Scenario: Entries that lapsed during an outage are waited for
    Given a directory with the runners r1 and r2
    When the store comes back without r1
    Then new work goes to r1 and r2
    And after 2.1 seconds new work goes to r2 alone

  Scenario: An entry that comes back in time is kept
    Given a directory with the runners r1 and r2
    When the store comes back without r1
    And the entry of r1 is written again
    Then after 2.1 seconds new work goes to r1 and r2

  Scenario: A leaving runner is not waited for after an outage
    Given a directory with the runners r1 and r2
    When the store says that r1 is leaving
    And the store comes back without r1
    Then r1 is gone

  # Symptom: a runner that has left gets calls again.
  # Events: a peer that was cut off tells its old news after the removal.
  # Cause: news taken in the order in which it comes.
  Scenario: Old news from a peer revives nobody
    Given a directory with the runners r1 and r2
    When the store removes the entry of r1
    Then after 0.5 seconds new work goes to r2 alone
    When a peer tells its old news of r1
    Then new work goes to r2 alone

  Scenario: A peer's newer news counts
    Given a directory with the runners r1 and r2
    When a peer tells that r1 is gone and r3 has come
    Then new work goes to r2 and r3

  # Symptom: calls reach a runner 2.5 s after it has left.
  # Events: the runner's entry is removed; three VMs hear it from the store,
  # the others only see that the revision told by peers has not risen.
  # Cause: a removal noted at the revision of the entry's last change.
  Scenario: A removal that one VM hears from the store reaches its peers
    Given two VMs' directories that follow the store and each other
    When the watch of one brings the removal of r1
    And one buries r1 after 0.5 seconds
    Then the other sees that it is behind, and learns that r1 is gone
    And neither seems to be behind any more

  # Symptom: calls reach a runner 2.02 s after it has left.
  # Events: a VM that had lost the store doubts a removal for 2 s, and tells
  # later news meanwhile; a third VM takes that over and believes itself up to
  # the revision of the removal, which it then never asks for.
  # Cause: a revision taken for all that came before it.
  Scenario: A removal that one VM doubts does not pass by the others
    Given two VMs' directories that follow the store and each other
    When one doubts the removal of r1 and tells that r3 has come
    Then the other's runners are those of one
    And both differ from a third that knows of the removal
    And with all of the third's news both know it too

  Scenario: A doubted removal is told at its own revision
    Given two VMs' directories that follow the store and each other
    When one doubts the removal of r1 and tells that r3 has come
    And one buries r1 after 2.1 seconds
    Then one tells the removal at its revision 7

  # Symptom: calls reach a runner 2 to 4 s after it has left, on six of forty
  # days.
  # Events: a removal is held for a moment; a peer that has not heard of it
  # sends all that it knows, the runner among it, at the revision known here.
  # Cause: news that is not new taken for a sign of life.
  Scenario: A peer that does not know of a removal does not undo it
    Given a directory with the runners r1 and r2
    When the store removes the entry of r1
    And a peer tells its old news of r1
    Then after 0.5 seconds new work goes to r2 alone

  # Symptom: all VMs lose all runners 2.6 s after a silent store came back, for
  # 4 s, on four of twelve plays of a day.
  # Events: all entries lapse and are written again; a VM that has the new ones
  # from its peers reads removals and new entries from its watch, at once.
  # Cause: the removals count as newer than the entries that it knows, and
  # entries that it knows already undo no removal.
  Scenario: A watch that is behind the peers removes nobody
    Given a directory with the runners r1 and r2
    When a peer tells that r1 was written again
    And a watch brings the removal of r1 and that it was written again
    Then after 2.1 seconds new work goes to r1 and r2

  Scenario: A removal that is older than the entry removes nobody
    Given a directory with the runners r1 and r2
    When a peer tells that r1 was written again
    And a watch brings the removal of r1 alone
    Then after 2.1 seconds new work goes to r1 and r2

  Scenario: A runner that was written again and removed for good is gone
    Given a directory with the runners r1 and r2
    When a watch brings that r1 was written again and its removal
    Then after 2.1 seconds new work goes to r2 alone
