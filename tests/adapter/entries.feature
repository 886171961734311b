Feature: What others write into the store can't stop a VM, nor mislead it

  # Symptom: a VM keeps the runners that it knew, for ever: those that leave
  # get calls, those that come get none.
  # Events: somebody writes an entry whose address is null; the watch of the
  # runners' entries meets it.
  # Cause: an error of a type that the listener does not expect ends the task.
  Scenario Outline: A spoiled entry ends no watch and takes no other with it
    Given a store with a good entry and one whose <field> is <value>
    When a VM's watch follows it
    Then the watch goes on and the good runner alone gets work
    And one line of the log says what is wrong

    Examples:
      | field             | value        |
      | address           | null         |
      | address           | 7            |
      | address           | "10.0.0.9:0" |
      | address           | "10.0.0.9:99999" |
      | address           | "10.0.0.999:80"  |
      | concurrency       | 1e400        |
      | concurrency       | -1           |
      | state             | "asleep"     |
      | state             | null         |
      | service           | ["a"]        |
      | zone              | 4            |
      | version           | {}           |
      | cold_remaining_ms | "soon"       |
      | sequence          | -3           |
      | leaves_ms         | -1           |
      | leaves_ms         | NaN          |
      | spot              | "no"         |
      | born              | 1.5          |
      | born              | null         |

  # Symptom: all runners are lost for as long as one object can't be read.
  # Events: a page of the list holds bytes that are no text, or a number of
  # five thousand digits.
  # Cause: the page is read as a whole or not at all.
  Scenario Outline: What can't be read in a page leaves the rest of it
    Given a page with a good entry and one with <what>
    Then the good entry is read from the page

    Examples:
      | what                 |
      | bytes that are no text |
      | a number of 5000 digits |
      | no name              |
      | nothing but a number |

  # Symptom: a runner that serves well loses its calls in flight.
  # Events: its own entry turns unreadable, and is written again.
  # Cause: an entry that can't be read taken for one that was removed.
  Scenario: A runner whose own entry is spoiled gets no work, and keeps its calls
    Given a store with two good entries
    When the first one's entry turns unreadable
    Then new work goes to the second alone, and the first is still known
    When the first one's entry is written again
    Then new work goes to both

  Scenario: A VM that hears from a peer that an entry can't be read believes it
    Given a store with two good entries
    When the first one's entry turns unreadable for one VM alone
    And its peer hears of it
    Then both VMs believe the same, and the peer still knows the first

  Scenario: Any value in any field of an entry is a runner or a reason
    When every field of an entry takes every kind of value
    Then each is read as a runner only if all its fields are in order

  Scenario: Any bytes as an answer of the store are read or refused
    When answers of the store take any bytes
    Then none ends in another error than a refusal

  Scenario: Any value in any field of a configuration is read or refused
    When every field of a configuration takes every kind of value
    Then none ends in another error than a refusal

  Scenario: Any value in any field of a peer's record is read or refused
    When every field of a record takes every kind of value
    Then none ends in another error than a refusal

  # Symptom: usage is never reported again.
  # Events: somebody writes over the object with the counts of the fleet.
  # Cause: an error of another type than the duty expects, at each try.
  Scenario: Notes in the store of any form stop no duty
    When the fleet's notes take every kind of value
    Then none ends in another error than a refusal

  Scenario: A lease object of any form is read or refused
    When the lease's fields take every kind of value
    Then none ends in another error than a refusal
