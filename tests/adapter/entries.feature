Feature: Invalid data in the store neither stops nor misleads a VM

  # Guards against an invalid entry, such as one with a null address, that
  # ends a VM's watch with an unexpected type of error. The VM would then send
  # calls to runners that have left, and no calls to new runners.
  Scenario Outline: An invalid entry affects neither the watch nor other entries
    Given a store with a valid entry and one whose <field> is <value>
    When a VM watches the store
    Then the watch continues and only the runner with the valid entry gets calls
    And one line of the log names the invalid entry

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

  # Guards against the loss of all runners while one object in the list can't
  # be decoded, such as one with invalid UTF-8 or a number of 5000 digits.
  # This happens when a page is decoded as a whole or not at all.
  Scenario Outline: Unreadable objects in a page do not affect the others
    Given a page with a valid entry and one with <what>
    Then the valid entry is decoded from the page

    Examples:
      | what                    |
      | invalid UTF-8           |
      | a number of 5000 digits |
      | no name                 |
      | only a number           |
      | half a pair as bytes    |
      | half a pair, escaped    |
      | half a pair in a key    |
      | nesting of 1500 levels  |
      | nesting of 100 levels   |
      | a line end in its name  |
      | a name that is half a pair |
      | a name of 5000 characters |

  # Guards against calls to runners that have left, while the entry of another
  # writer makes the list of runners or each change of it unreadable.
  Scenario Outline: A VM goes on to follow the store beside an unreadable entry
    Given a store whose list and changes have an entry with <what>
    When a VM watches the store, and a runner is added and removed
    Then the watch continues and only the runner with the valid entry gets calls
    And the list was read at most <lists> times

    Examples:
      | what                    | lists |
      | half a pair as bytes    | 1     |
      | half a pair, escaped    | 1     |
      | nesting of 1500 levels  | 1     |
      | a line end in its name  | 1     |
      | a name that is half a pair | 1  |
      | no name                 | 4     |

  # Guards against a list whose end is taken for removed runners, as the last
  # object of a page can't be read.
  Scenario Outline: A list of pages goes on after an object that can't be read
    Given a list of two pages, the first of which ends with <what>
    When the list is read
    Then <outcome>

    Examples:
      | what                       | outcome                         |
      | half a pair as bytes       | the valid entries of both pages are found |
      | a name that is half a pair | the valid entries of both pages are found |
      | a line end in its name     | the valid entries of both pages are found |
      | no name                    | the list fails as a whole       |
      | only a number              | the list fails as a whole       |

  # Guards against a configuration of which some components know nothing, and
  # against heads of requests that a name breaks in two.
  Scenario Outline: A configuration with an unreadable text is refused whole
    Given a stored configuration with <what>
    When the configuration is decoded
    Then it is refused

    Examples:
      | what                        |
      | half a pair in a key        |
      | half a pair in a customer   |
      | a line end in a customer    |
      | a line end in a route       |
      | NUL in a service            |
      | a control character in a key of a customer |
      | nesting of 100 levels       |

  # Guards against a healthy runner that loses its calls in flight because its
  # entry becomes unreadable for a while. This happens when an unreadable
  # entry is treated as a deleted one.
  Scenario: A runner with an unreadable entry gets no new calls and keeps its calls
    Given a store with two valid entries
    When the first runner's entry becomes unreadable
    Then only the second runner gets new calls, and the first is still known
    When the first runner's entry is written again
    Then both runners get new calls

  Scenario: A VM accepts a peer's report that an entry is unreadable
    Given a store with two valid entries
    When the first runner's entry becomes unreadable for only one VM
    And its peer receives the change
    Then both VMs have the same directory, and the peer still knows the first

  Scenario: An entry is decoded as a runner only if all its fields are valid
    When the fields of an entry take arbitrary values
    Then each entry is decoded as a runner only if all its fields are valid

  Scenario: Arbitrary bytes in an answer of the store are decoded or rejected
    When answers of the store consist of arbitrary bytes
    Then no decoder raises another error than a rejection

  Scenario: Arbitrary values in a configuration are decoded or rejected
    When the fields of a configuration take arbitrary values
    Then no decoder raises another error than a rejection

  Scenario: Arbitrary values in a peer's record are decoded or rejected
    When the fields of a peer's record take arbitrary values
    Then no decoder raises another error than a rejection

  # Guards against usage reports that stop for good after another program
  # overwrites the object with the fleet's counts. This happens when each
  # attempt to decode the object raises an error that the duty does not handle.
  Scenario: Arbitrary values in the checkpoint object are decoded or rejected
    When the fields of the fleet's checkpoint take arbitrary values
    Then no decoder raises another error than a rejection

  Scenario: Arbitrary values in a lease object are decoded or rejected
    When the lease's fields take arbitrary values
    Then no decoder raises another error than a rejection
