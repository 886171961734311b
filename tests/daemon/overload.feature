Feature: Overload affects only the customers that cause it

  Scenario: Without the system a flood delays every customer
    Shows that the check of first token times can fail. One customer sends five
    times the capacity directly to the runners, which serve requests in the
    order of arrival; another customer's occasional requests wait.
    Given 2 engines with 4 slots each and 2 entry VMs
    When ana sends 5.0 times the capacity directly to the engines for 1.6 s, and bruno sends a trickle
    Then some of bruno's first tokens came later than 1.5 s

  Scenario: One customer floods, another sends a trickle
    Guards against one customer's batch that delays all others because a single
    queue serves all customers: one sends five times the capacity, the other
    an occasional request.
    Given 2 engines with 4 slots each and 2 entry VMs
    When ana sends 5.0 times the capacity for 4.0 s, and bruno sends a trickle
    Then all of bruno's requests are served, with first tokens within 1.5 s
    And ana's refusals came within 2.5 s, with a time to retry, and did not run
    And at least 0.7 of the capacity was served to ana
    And the extra executions are at most 0.1 of the executed requests

  Scenario: The lower class is shed first
    Guards against drafts that are refused while summaries run, because load
    shedding ignores the service class. A customer sends 2.5 times the capacity
    to each of two entries; the class of the second is to be shed first.
    Given 2 engines with 4 slots each and 2 entry VMs
    When ana floods drafts and summaries at 2.5 times capacity each for 4.0 s
    Then summaries were refused rather than drafts
    And ana's refusals came within 2.5 s, with a time to retry, and did not run
    And the extra executions are at most 0.1 of the executed requests
