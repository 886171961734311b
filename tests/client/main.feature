Feature: The operators' command line

  Scenario: A catalogue is applied, merged, edited and shown
    Given an operator's command line with an object API
    When the operator runs "catalogue apply examples/procurador.json"
    Then the command exits with 0 and prints "version=1"
    When the operator runs "catalogue apply --merge examples/consorzio.json"
    Then the command exits with 0 and prints "version=3"
    When the operator runs "catalogue list"
    Then the command exits with 0 and prints "entry=registo-app kind=service"
    When the operator runs "catalogue delete itinerary"
    Then the command exits with 0 and prints "- entries.itinerary"
    When the operator runs "catalogue diff 1"
    Then the command exits with 0 and prints "- entries.concierge-chat"
    When the operator runs "catalogue show --version 1 --json"
    Then the command exits with 0 and prints ""version": 1"
    When the operator runs "catalogue history"
    Then the command exits with 0 and prints "version=3"

  Scenario: A shown document can be applied only to the version it shows
    Given an operator's command line with an object API
    And the operator has applied an example and saved the shown document
    When the operator runs "catalogue apply examples/consorzio.json"
    Then the command exits with 0 and prints "version="
    When the operator applies the saved document
    Then the command exits with 4 and complains "another edit came first"

  Scenario Outline: Failed commands exit with a code and an error message
    Given an operator's command line with an object API
    When the operator runs "<command>"
    Then the command exits with <code> and complains "<complaint>"

    Examples:
      | command                                      | code | complaint          |
      | catalogue apply examples/settings.json       | 3    | only the fields    |
      | catalogue apply no-such-file.json            | 3    | no-such-file.json  |
      | catalogue apply examples/catalogue.json --expect 9 | 4 | version 0 is in force |
      | catalogue delete nothing                     | 3    | no entry nothing   |
      | catalogue show --version 9                   | 3    | not kept           |
      | catalogue show --objects http://127.0.0.1:1  | 5    | can't connect      |
      | in-force                                     | 2    | --entry            |
      | in-force --entry 127.0.0.1:1                 | 5    | can't connect      |
      | catalogue frob                               | 2    | invalid choice     |

  Scenario: The version in force at every entry VM is shown
    Given entry VMs a, b and c with catalogue versions 4, 4 and 3
    When the operator runs "in-force"
    Then the command exits with 0 and prints "c   alive  3"
    When the operator runs "in-force --wait 3"
    Then the command exits with 0 and prints "a   alive  4"
    When the operator runs "in-force --wait 4 --timeout 0"
    Then the command exits with 6 and complains "at c"

  Scenario: A dead entry VM does not block a wait for a version
    Given entry VMs a, b and c with catalogue versions 4, 4 and 3
    And entry VM c dies and its peers detect the failure during the wait
    When the operator runs "in-force --wait 4"
    Then the command exits with 0 and prints "b   alive  4"

  Scenario: Histograms and costs are summed over the fleet
    Given entry VMs a, b and c with catalogue versions 4, 4 and 3
    When the operator runs "histograms"
    Then the command exits with 0 and prints "customer=belem class=desk count=3"
    When the operator runs "cost --json"
    Then the command exits with 0 and prints ""spent": 4.5"
    When entry VM c stops answering
    And the operator runs "cost"
    Then the command exits with 0 and prints "no answer from: c"

  Scenario: The commands work against running daemons
    Given a fleet of 2 engines and 2 entry VMs
    And an operator's command line for that fleet
    And 2 callers are streaming 10 tokens each
    Then every answer is whole and no token came twice
    When the operator runs "catalogue delete summaries"
    Then the command exits with 0 and prints "- entries.summaries"
    When the operator waits until that version is in force
    Then the command exits with 0 and prints "vm-1"
    When the operator runs "histograms"
    Then the command exits with 0 and prints "customer=ana class=desk count="
    When the operator runs "cost"
    Then the command exits with 0 and prints "drafts"
    When the operator runs "entries"
    Then the command exits with 0 and prints "ttl_s=0.6"
    When the operator runs "status --json"
    Then the command exits with 0 and prints ""catalogue_version""

  Scenario: The operators' page on refusals is complete
    Then the operators' page lists exactly the exit codes
    And the operators' page lists exactly the types of refusals
