Feature: Estimate of the runners that the prompts keep busy

  Scenario: The loads of all VMs are added up
    Given 4 VMs that each send 10000 tokens per second, prefilled at 40000 per second
    When 6 seconds pass
    Then about 1 runner is required for each 30000 tokens per second

  # Guards against the release of runners while the reports of one VM are late.
  # The VM is cut off from its peers for some seconds, but callers still reach
  # it; its load must not count as ended.
  Scenario: A load with late reports still counts for a while
    Given 4 VMs that each send 10000 tokens per second, prefilled at 40000 per second
    When 6 seconds pass, then 3 seconds without reports of VM 1
    Then the rate is about 40000 tokens per second

  Scenario: The load of a VM that is long gone does not count
    Given 4 VMs that each send 10000 tokens per second, prefilled at 40000 per second
    When 6 seconds pass, then 8 seconds without reports of VM 1
    Then the rate is about 30000 tokens per second

  Scenario: Waiting prompts do not lower the prefill speed
    Then the prefill speed is that of the prompts that did not wait

  # Guards against the order of several times the required runners after a
  # short overload. A burst fills all runners, and the wait of every prompt
  # counts as slow prefill, so that the need grows with each of them.
  Scenario: The prefill speed is kept while all prompts wait
    Given prompts with a prefill speed of 25000 tokens per second
    When 200 prompts wait until they take five times as long
    Then the prefill speed is still above 20000 tokens per second
    But after 3000 such prompts the prefill speed is below 6000 tokens per second

  Scenario: Few unexpectedly cached prompts do not set the peak speed
    Given 4 prompts with an apparent prefill speed of 400000 tokens per second
    When 200 prompts have a prefill speed of 25000 tokens per second
    Then the prefill speed is below 26000 tokens per second

  # Guards against too few runners when the token rate suggests that they
  # suffice. Runners leave with their caches, prompts expected in a cache are
  # prefilled again, and first answers come late.
  Scenario Outline: Late first answers raise the number of runners
    Given 4 VMs that each send 30000 tokens per second, prefilled at 40000 per second
    When 6 seconds pass while answers take <part> of their time objective
    Then the load requires <runners> runners

    Examples:
      | part | runners |
      | 0.2  | 3       |
      | 0.9  | 5       |
      | 3.0  | 8       |
