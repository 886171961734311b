Feature: Circuit of a runner

  Scenario: It opens after failures in a row, and only then
    Given a runner's circuit
    When it sees the ends "FFSFF"
    Then the circuit is closed
    When it sees the ends "F"
    Then the circuit is open

  Scenario: One probe at a time closes it
    Given a runner's circuit
    When it sees the ends "FFF"
    And the open time of the circuit passes
    Then the circuit allows one probe and not a second one
    When it sees the ends "S"
    Then the circuit is closed
    And the runner starts slowly again

  Scenario: Probes that fail come further and further apart
    Given a runner's circuit
    When it sees the ends "FFF"
    Then each failed probe keeps the circuit open longer, up to 38 seconds

  Scenario: A probe whose end was never told
    Symptom: a healthy runner gets no request for good.
    Events: a probe goes out; the VM loses its end.
    Cause: the half-open circuit waits for a probe that nobody remembers.
    Given a runner's circuit
    When it sees the ends "FFF"
    And the open time of the circuit passes
    And a probe goes out and its end is lost for 31 seconds
    Then the circuit allows one probe and not a second one

  Scenario: The circuit agrees with a plain one
    Then a circuit is closed exactly when a plain count says so
