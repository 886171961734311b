Feature: The limit on retries that all VMs keep together

  # Guards against VMs that forget at each start what they have sent.
  Scenario: All VMs are killed again and again while runners lose answers
    When runners lose most answers, and all VMs are killed five times within 8 s
    Then no ten seconds bring more retries to the runners than the limit
