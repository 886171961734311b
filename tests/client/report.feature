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
