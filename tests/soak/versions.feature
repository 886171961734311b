Feature: Soak test of runners whose versions are released to and fro

  Scenario: A short soak with releases violates no guarantee
    When a soak test with seed 2 injects faults and releases for 5.0 s
    Then it made over 100 calls and violated no guarantee

  Scenario: The plan of releases depends only on the seed
    Then the plans of releases of seed 7 are equal and that of seed 8 differs

  Scenario Outline: The checks detect a stream of two versions
    Given a stream of a soak that began with events of <first>
    And its caller took it up again and got events of <second>
    Then the checks of versions report "<complaint>"

    Examples:
      | first | second | complaint                |
      | v1    | v1     | nothing                  |
      | v1    | v2     | events of v1 and v2      |
      | v1 v2 | v2     | events of v1 and v2      |

  Scenario Outline: The checks detect streams that are not continued
    Given a soak with 20 new streams of which <begun> began
    And <resumed> streams of v1 that were resumed, of which <went_on> went on
    And <runners> runners of v1 that <state>
    Then the checks of versions report "<complaint>"

    Examples:
      | begun | resumed | went_on | runners | state                   | complaint  |
      | 20    | 12      | 5       | 2       | served all the time     | 0.42 went  |
      | 20    | 12      | 6       | 2       | served all the time     | nothing    |
      | 20    | 11      | 0       | 2       | served all the time     | nothing    |
      | 8     | 12      | 3       | 2       | served all the time     | nothing    |
      | 20    | 12      | 0       | 1       | served all the time     | nothing    |
      | 20    | 12      | 0       | 2       | left half a second before | nothing  |
      | 20    | 12      | 0       | 2       | were suspended then     | nothing    |
