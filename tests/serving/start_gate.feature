Feature: Callers that connect while a process starts

  # Guards against refused connections while a starting VM loads its modules,
  # because the port listens too late. After a power loss of all VMs, callers
  # then fail for good although a VM is back a quarter of a second later.
  Scenario: A call that arrives before the server has started is answered
    Given a listening port whose server has not started
    When a call arrives and then the server starts
    Then the caller receives its response

  # Guards against calls that are refused without a configuration, although it
  # arrives three milliseconds later, because connections are accepted before
  # calls can be served.
  Scenario: A call that arrives before the configuration waits for it
    Given a listening port whose server has not started
    When a call arrives and then the VM becomes ready
    Then the call was not read before the VM was ready
    And the caller receives its response

  Scenario: A VM that does not become ready in time answers nevertheless
    Given a listening port whose server has not started
    When a call arrives and the VM does not become ready in time
    Then the caller receives its response
