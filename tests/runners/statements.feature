Feature: What a runner says of itself

  Scenario Outline: A limit is read
    When a head names the limit <values>
    Then the limit is <limit> and the values are <clear>

    Examples:
      | values      | limit | clear      |
      | 1.5         | 1.5   | readable   |
      | 0           | 0     | readable   |
      | 1e9         | 1e9   | readable   |
      | 2 and 2     | 2     | readable   |
      | 3 and 2     | 2     | unreadable |
      | 3 and many  | 3     | unreadable |
      | many        | none  | unreadable |
      | -1          | none  | unreadable |
      | nan         | none  | unreadable |
      | inf         | none  | unreadable |
      | a date      | none  | unreadable |
      | no text     | none  | unreadable |

  Scenario: A head without a limit says that there is none
    Then a head without a limit says so, and one with an unreadable limit not

  Scenario: A limit is named, changed and lifted
    Given a VM that knows a runner
    When the runner names 2 calls a second
    Then the limit is named
    When the runner names 2 calls a second
    Then the limit stays
    When the runner names 1 calls a second
    Then the limit is changed
    When a response names no limit to a call sent since
    Then the limit is lifted

  # Guards against a limit that is lifted by a response that crossed it.
  Scenario: A response to an earlier call doesn't lift a limit
    Given a VM that knows a runner
    When the runner names 2 calls a second
    And a response names no limit to a call sent before
    Then the limit stays

  Scenario Outline: The latest reading counts, whoever read it
    Given a VM that knows a runner
    When the runner names 2 calls a second
    And another VM passes on <reading>, read <age> seconds ago, 1 second later
    Then the limit <outcome>

    Examples:
      | reading | age | outcome    |
      | 1       | 0.5 | is changed |
      | 1       | 1.5 | stays      |
      | none    | 0.5 | is lifted  |
      | none    | 1.5 | stays      |

  # Guards against a limit that comes back because news of it arrives late.
  Scenario: Old news doesn't name a lifted limit again
    Given a VM that knows a runner
    When the runner names 2 calls a second
    And a response names no limit to a call sent since
    And another VM passes on 2, read 3 seconds ago, 1 second later
    Then the limit stays

  Scenario: A limit ends with its runner
    Given a VM that knows a runner
    When the runner names 2 calls a second
    And the runner is gone
    Then no limit is known
    And another VM's reading of it is ignored

  Scenario Outline: A rest is read
    When a head asks for a rest of <values>
    Then the rest is <rest> and the values are <clear>

    Examples:
      | values   | rest     | clear      |
      | 3        | 3        | readable   |
      | 0.25     | 0.25     | readable   |
      | 0        | 0        | readable   |
      | 31536000 | 31536000 | readable   |
      | 1 and 3  | 3        | unreadable |
      | soon     | none     | unreadable |
      | -1       | none     | unreadable |
      | nan      | none     | unreadable |
      | inf      | none     | unreadable |
      | a date   | none     | unreadable |

  Scenario Outline: A rest is kept for as long as it was asked for
    Given a VM that a runner asked for a rest of <first> seconds
    When <later> seconds later it asks for a rest of <second> seconds
    Then the runner rests for <left> seconds, and no longer

    Examples:
      | first | later | second | left |
      | 3     | 1     | 3      | 3    |
      | 3     | 1     | 1      | 2    |
      | 3     | 1     | 0      | 2    |

  Scenario Outline: A leaving is read
    When a head says of leaving <values>
    Then the runner <outcome> and the values are <clear>

    Examples:
      | values  | outcome | clear      |
      | 1       | leaves  | readable   |
      | 0       | stays   | readable   |
      | 1 and 1 | leaves  | readable   |
      | 1 and 0 | leaves  | unreadable |
      | soon    | stays   | unreadable |
      | 2       | stays   | unreadable |
      | -1      | stays   | unreadable |

  Scenario Outline: A runner's word that it leaves holds until its process ends
    Given a VM that was told at heartbeat 7 that a runner leaves
    When <what>
    Then the runner <outcome> by its word

    Examples:
      | what                                  | outcome |
      | it is listed with heartbeat 9         | leaves  |
      | it is listed with heartbeat 7         | leaves  |
      | it is listed with heartbeat 1         | stays   |
      | it is not listed                      | stays   |

  Scenario Outline: Fragility is read
    When a head says that the runner bears <values> rejections
    Then it bears <rejections> and the values are <clear>

    Examples:
      | values     | rejections | clear      |
      | 3          | 3          | readable   |
      | 0          | 0          | readable   |
      | 2.9        | 2          | readable   |
      | 1e30       | 100000     | readable   |
      | 2 and 2    | 2          | readable   |
      | 3 and 2    | 2          | unreadable |
      | 3 and many | 3          | unreadable |
      | many       | none       | unreadable |
      | -1         | none       | unreadable |
      | nan        | none       | unreadable |
      | inf        | none       | unreadable |
      | a date     | none       | unreadable |
      | no text    | none       | unreadable |

  Scenario: A head that says nothing of fragility is that of a sound runner
    Then a head without fragility is sound, and one with an unreadable one not

  # Guards against VMs that pass on a limit for good that was lifted once.
  Scenario: A lifted limit is forgotten in the end
    Given a VM that knows a runner
    When the runner names 2 calls a second
    And a response names no limit to a call sent since
    And 16 seconds pass for the limits
    Then no limit is known
