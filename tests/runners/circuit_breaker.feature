Feature: Circuit breaker of a runner

  Scenario: It opens only after consecutive failures
    Given a runner's circuit
    When requests end with "FFSFF"
    Then the circuit is closed
    When requests end with "F"
    Then the circuit is open

  Scenario: It allows one probe at a time and closes when the probe succeeds
    Given a runner's circuit
    When requests end with "FFF"
    And the open time of the circuit passes
    Then the circuit allows one probe and not a second one
    When requests end with "S"
    Then the circuit is closed
    And the runner is in slow start again

  Scenario: The interval between failing probes increases
    Given a runner's circuit
    When requests end with "FFF"
    Then each failed probe keeps the circuit open longer, up to 38 seconds

  Scenario: A probe whose end is never reported
    Guards against a healthy runner that never gets requests again, because
    the half-open circuit waits for a probe whose end was lost.
    Given a runner's circuit
    When requests end with "FFF"
    And the open time of the circuit passes
    And a probe is sent and its end is not reported for 31 seconds
    Then the circuit allows one probe and not a second one

  # Guards against calls that find no runner just after a VM, which had lost
  # its paths to all runners, is back.
  Scenario: Failures that were the VM's own are forgotten
    Given a runner's circuit
    When requests end with "FFF"
    And the failures of the last second are forgotten
    Then the circuit is closed
    When requests end with "FF"
    Then the circuit is closed

  Scenario: A circuit that was open before may be probed
    Given a runner's circuit
    When requests end with "FFF"
    And the open time of the circuit passes
    And 2 seconds pass for the circuit
    And requests end with "F"
    Then the circuit is open
    When the failures of the last second are forgotten
    Then the circuit is half_open

  Scenario: Failures from before are not forgotten
    Given a runner's circuit
    When requests end with "FF"
    And 2 seconds pass for the circuit
    And the failures of the last second are forgotten
    And requests end with "F"
    Then the circuit is open

  Scenario: The circuit agrees with a plain count of failures
    Then a circuit is closed exactly when a plain count says so
