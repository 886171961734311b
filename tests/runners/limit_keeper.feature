Feature: The keeper of a runner's limit

  Scenario Outline: No span of 4 seconds exceeds what the runner allows
    Given a keeper of a limit of <limit> calls a second
    When it is asked <asks> times a second for 30 seconds
    Then in any 4 seconds at most one and a half times the limit and 5 are admitted
    And at least 0.9 of the limit is admitted

    Examples:
      | limit | asks |
      | 0.5   | 20   |
      | 1.5   | 20   |
      | 30    | 200  |
      | 300   | 1000 |

  Scenario: A limit of 0 lets one call in 4 seconds through
    Given a keeper of a limit of 0 calls a second
    When it is asked 20 times a second for 30 seconds
    Then 8 calls are admitted

  Scenario: Waiting calls keep their turns
    Given a keeper of a limit of 2 calls a second
    And its burst is used up
    When 3 calls are asked about that can wait 1.2 seconds
    Then their waits are 0.5, 1 and none

  Scenario: The room of a call that was not sent is used again
    Given a keeper of a limit of 2 calls a second
    And its burst is used up
    When 3 calls are asked about that can wait 1.2 seconds
    And the first of them is not sent
    Then a call that can wait 1.2 seconds is admitted

  # Guards against two VMs that each admit the whole limit.
  Scenario: A VM that is asked in place of the keeper admits a quarter
    Given a keeper of a limit of 8 calls a second
    When it is asked 100 times a second for 30 seconds in place of another
    Then at most 0.3 of the limit is admitted

  Scenario: Silent VMs leave a part of the limit unused
    Given a keeper of a limit of 8 calls a second
    And a fleet of which half is silent
    When it is asked 100 times a second for 30 seconds
    Then at most 0.55 of the limit is admitted

  # Guards against a keeper that thousands of VMs ask at each call.
  Scenario: The more VMs ask, the longer a refused one waits
    Given a keeper of a limit of 1 calls a second
    When 1000 VMs ask again as soon as they may for 20 seconds
    Then it is asked at most 500 times a second

  Scenario: A limit that changes counts at once
    Given a keeper of a limit of 8 calls a second
    When it is asked 100 times a second for 10 seconds
    And the limit falls to 1 calls a second
    And it is asked 100 times a second for 20 seconds
    Then at most 24 calls were admitted since it fell

  # Guards against a limit that is kept at one size of a fleet only.
  Scenario Outline: A fleet keeps a limit through ends, cuts and lost messages
    When <vms> VMs keep a limit of <limit> calls a second in the model
    Then no more calls are sent than the runner allows, told or not
    And at least 0.9 of the limit is used while the load is steady

    Examples:
      | vms | limit |
      | 7   | 1.5   |
      | 7   | 15    |
      | 70  | 1.5   |
      | 70  | 15    |
      | 195 | 15    |
