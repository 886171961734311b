Feature: Records that come as datagrams

  Scenario: Records that came since the last look are taken in
    Given a VM that hears records
    When 3 records come from their own address
    Then 3 records are taken in at the next look
    And none at the one after

  Scenario Outline: A record that can't be trusted is not taken in
    Given a VM that hears records
    When a record comes that is <bad>
    Then no record is taken in and "<reason>" is logged

    Examples:
      | bad                     | reason          |
      | of another VM's address | foreign_address |
      | cut short               | ValueError      |
      | not compressed          | error           |
      | too long                | ValueError      |
      | not a record            | Misshapen       |

  Scenario: More records than can be meant don't keep callers waiting
    Given a VM that hears records
    When it takes in a flood of records that never ends
    Then one look ends after 300 of them

  Scenario: What waited while the process stood still tells nothing
    Symptom: a VM that was frozen sends callers to VMs that ended meanwhile.
    Events: records wait at its socket while it stands still; they are read
    after it woke.
    Cause: a record is taken for as old as the moment at which it is read.
    Given a fleet's VM that hears records
    When 3 records wait until it sees that it was frozen
    Then it hears nobody after it woke

  Scenario: A receiver that can't be reached keeps no record from the others
    Given a VM that hears records
    When it sends a record to a receiver that can't be and then to one that is
    Then the one that is has it

  # Symptom: records among 74 VMs make up 0.5 of 0.57 GB between data centres.
  # Cause: each carries the names of all customers and runners in full.
  Scenario: A record of a busy VM fits into six tenths of its length
    Given a record of a VM with 16 customers and 16 runners
    Then it is sent in less than 0.65 of its length
    And it comes as it was

  # Symptom: a tenth of the lowest class's first tokens are late on a calm day,
  # at runners that read three prompts while others are idle.
  # Events: calls come in clumps; several VMs send prompts to one runner.
  # Cause: each VM hears of the others' prompts up to 0.25 s later.
  Scenario: Prompts that come in a clump are told at once, by one record
    Given a fleet's VM that hears 6 others
    When runners are given 3 prompts at once
    Then 1 record is sent within 0.1 seconds to 6 others

  # Symptom: first answers late at a light load in a fleet of 195, as VMs
  # choose the same runner by loads that are over a second old.
  # Cause: prompts were told by the next of the records that go to some VMs in
  # turn.
  Scenario: In a large fleet prompts are told to the aggregator at once
    Given a fleet's VM that hears 30 others
    When runners are given 3 prompts at once
    Then 1 record is sent within 0.1 seconds to 1 others
