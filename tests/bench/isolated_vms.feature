Feature: The model of VMs that lost all runners

  Scenario: Without any remedy the callers of isolated VMs are not served
    When half of 8 VMs are isolated and nothing is done about it
    Then the rule for isolated VMs is broken in each play
    And nothing passes between VMs

  Scenario: Forwarded calls are served nearly as often as the others
    When half of 8 VMs are isolated and their calls are forwarded
    Then the rule for isolated VMs is kept in each play
    And first tries at isolated VMs are served as often as at the others

  Scenario: The last connected VM drowns if it alone is listed
    When all but one of 30 VMs are isolated and leave the lists
    Then its own callers are served less than half as often as with all listed
