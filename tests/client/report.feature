Feature: Reporting on the logs of a fleet with plots

  Scenario: The logs of two VMs are summarized in a page of plots
    Given logs of two VMs with a request broken by a reclaimed runner
    When the operator generates a report from them
    Then the report counts 2 VMs, 1 failed and 1 refused request
    And its reasons are "broken" and "over_the_limit"
    And the page contains plots and these counts

  Scenario: A directory without logs is reported as an error
    Given an empty directory
    When the operator generates a report from it
    Then the command fails and says "no file is named *.log"

  Scenario: Logs without the end of any request are reported as an error
    Given logs without the end of any request
    When the operator generates a report from them
    Then the command fails and says "no request ended"

  Scenario: A page that can't be written is reported as an error
    Given logs of two VMs with a request broken by a reclaimed runner
    When the operator writes a report into a missing directory
    Then the command fails and says "No such file"

  # Guards against a report that omits late requests, or the route, time or
  # reason of lost requests.
  Scenario: Lost and late requests are counted by route, window and reason
    Given logs of late, refused and failed requests with 4 runners present
    When the operator generates a report from them
    Then the losses are 2 late, waited at its runner and 1 late, retried
    And the losses are 1 refused by a limit and 1 failed by its runner
    And losses of route "drafts" from second 2 are listed with 4 runners
