Feature: The number of VMs that share fleet-wide amounts

  # Guards against a VM that has heard from nobody and takes the fleet for itself.
  Scenario Outline: A process that has seen little doesn't know the size
    Given a process that <read> and has heard from <heard> VMs after <uptime> s
    Then the size of its fleet is <size>

    Examples:
      | read               | heard | uptime | size    |
      | has read nothing   | 0     | 20     | unknown |
      | has read nothing   | 3     | 20     | unknown |
      | has read nothing   | 3     | 700    | 4       |
      | has found none     | 6     | 20     | unknown |
      | has read a size 7  | 0     | 0      | 7       |
      | has read a size 7  | 9     | 20     | 10      |
      | has read a size 7  | 2     | 700    | 7       |

  Scenario Outline: The store's record is written by those who have seen enough
    Given a process that <read> and has heard from <heard> VMs after <uptime> s
    Then it wants the store to name <size>

    Examples:
      | read               | heard | uptime | size    |
      | has read nothing   | 6     | 20     | nothing |
      | has found none     | 2     | 1      | nothing |
      | has found none     | 6     | 4      | 7       |
      | has read a size 7  | 6     | 4      | nothing |
      | has read a size 7  | 9     | 4      | 10      |
      | has read a size 7  | 2     | 20     | nothing |
      | has read a size 7  | 2     | 700    | 3       |

  Scenario: VMs that fell silent count for long, those that left don't
    Given a VM that hears from 6 others, of which 2 fall silent and 1 leaves
    Then after 60 s it counts 5 others, and after 700 s 3

  Scenario: A store that fails or is spoiled leaves the size unknown or as it was
    Given two processes of a fleet with a store that fails at first
    Then neither knows the size before the store answers
    And both know it once one has written it
    And a spoiled record is written anew
