Feature: Streams go on only at the software version that began them

  # Guards against a response joined of two versions, whose events don't fit.
  Scenario Outline: A broken stream goes on at a runner of the same version
    Given 1 VMs and <runners> that break each stream that they begin
    When 24 streams are made
    Then no stream holds events of two versions
    And all streams are whole

    Examples:
      | runners                |
      | runners v1 v1 v2 v2    |
      | runners v1 v2 v1 v2    |
      | runners v2 v2 v2 v1 v1 |

  # Guards against a stream joined of two versions while only one runner of the
  # version that began it is left, and against a caller that waits for nothing.
  Scenario: A broken stream ends at once if its version is nowhere else
    Given 1 VMs and runners v1 v2 that break each stream that they begin
    When 6 streams are made
    Then no stream holds events of two versions
    And each try took less than 1 second

  # Guards against a stream joined of two versions over the tries of its caller.
  Scenario Outline: A caller resumes a stream of one of several versions
    Given 3 VMs and <runners> that stream slowly
    When 24 streams are begun, and resumed at other VMs
    Then no stream holds events of two versions
    And all streams are whole

    Examples:
      | runners                |
      | runners v1 v1 v2 v2    |
      | runners v1 v1 v2 v3 v3 |
