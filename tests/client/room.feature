Feature: Showing whether a service is contended

  Scenario: The metrics of two VMs are combined
    Given metrics of two VMs, of which one sees contention
    When the operator asks for the room of "s" as JSON
    Then the command prints the state of the service and its customer

  Scenario: A service without ranks is reported as an error
    Given metrics of two VMs, of which one sees contention
    When the operator asks for the room of "plain" as text
    Then the command fails and says "no metric of a service 'plain'"

  Scenario: The text names the wait and the customer
    Given metrics of two VMs, of which one sees contention
    When the operator asks for the room of "s" as text
    Then the command succeeds and prints "contended at 1 of 2 VMs"
    And the command succeeds and prints "a/b"
