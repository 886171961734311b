Feature: What runners say of themselves, for both paths of calls

  # Guards against a refused caller that is told the wait of an earlier call.
  Scenario: The wait for room at a limited runner passes
    Given a runner that names a limit of 1 call a second to this VM alone
    When this VM has sent it calls until there is no room
    Then it may take a call again after 0.5 to 1 seconds, and is passed over
    When that time has passed
    Then it may take a call at once, and is not passed over
    When the limit is lifted
    Then nothing is said of when it takes a call

  # Guards against a log line for each response of a runner in error.
  Scenario: An unreadable statement is logged once in 10 seconds
    When a runner says something unreadable 50 times in 5 seconds
    Then it is to be logged 1 times
    When a runner says something unreadable 50 times in 20 seconds
    Then it is to be logged 2 times
