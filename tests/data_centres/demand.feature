Feature: How many runners the prompts keep busy

  Scenario: The work of all VMs is added up
    Given 4 VMs that each have 10000 tokens read a second at 40000 a second
    When 6 seconds pass
    Then about 1 runner's reading is used for each 30000 tokens a second

  # Symptom: runners are given back while one VM's news is late.
  # Events: a VM is cut off from its peers for some seconds; its callers still
  # reach it.
  # Cause: its work counted as ended.
  Scenario: Work whose news is late counts on for a while
    Given 4 VMs that each have 10000 tokens read a second at 40000 a second
    When 6 seconds pass and VM 1 is not heard for 3 seconds
    Then the rate is about 40000 tokens a second

  Scenario: The work of a VM that is long gone does not count
    Given 4 VMs that each have 10000 tokens read a second at 40000 a second
    When 6 seconds pass and VM 1 is not heard for 8 seconds
    Then the rate is about 30000 tokens a second

  Scenario: Waiting does not make a runner's reading look slow
    Then the speed is that of the prompts that did not wait

  # Symptom: a fleet that was short of runners for a moment orders several
  # times what it needs, and pays for all of them.
  # Events: a burst fills all runners; for some seconds every prompt waits.
  # Cause: the wait is taken for slow reading, so that the need grows with each
  # prompt that waits.
  Scenario: A time in which all prompts wait does not make runners look slow
    Given prompts that a runner read at 25000 tokens a second
    When 200 prompts wait five times as long as they are read
    Then the speed is still above 20000 tokens a second
    But after 3000 such prompts the speed is below 6000 tokens a second

  Scenario: A single prompt that was cached unseen sets no lasting speed
    Given 4 prompts that seemed to be read at 400000 tokens a second
    When 200 prompts are read at 25000 tokens a second
    Then the speed is below 26000 tokens a second

  # Symptom: runners are too few although the tokens say that they suffice.
  # Events: caches go with runners that left; prompts that were taken for
  # cached are read again, and first answers come late.
  # Cause: a need that is reckoned from beliefs alone.
  Scenario Outline: Late first answers raise the need
    Given 4 VMs that each have 30000 tokens read a second at 40000 a second
    When 6 seconds pass while answers take <part> of their objective
    Then <runners> runners are needed

    Examples:
      | part | runners |
      | 0.2  | 3       |
      | 0.9  | 5       |
      | 3.0  | 8       |
