Feature: A page of plots from the logs

  Scenario: Latency, refusals and runners of two VMs
    Given logs of two VMs with a request that broke off at a reclaimed runner
    When the operator draws a report of them
    Then the report counts 2 VMs, 1 failed and 1 refused request
    And its reasons are "broken" and "over_the_limit"
    And the page holds plots and these counts

  Scenario: A directory without logs
    Given an empty directory
    When the operator draws a report of it
    Then the command fails and says "no file is named *.log"

  Scenario: Logs in which no request ended
    Given logs in which no request ended
    When the operator draws a report of them
    Then the command fails and says "no request ended"

  Scenario: A page that can't be written
    Given logs of two VMs with a request that broke off at a reclaimed runner
    When the operator draws a report into a directory that is not there
    Then the command fails and says "No such file"

  # Guards against a report that omits late requests, or the route, time and
  # reason of losses.
  Scenario: Lost and late requests by route, time window and reason
    Given logs of requests that were late, refused and failed while 4 runners served
    When the operator draws a report of them
    Then the losses are 2 late, waited at its runner and 1 late, retried
    And the losses are 1 refused by a limit and 1 failed by its runner
    And losses of route "drafts" from second 2 are listed with 4 runners
