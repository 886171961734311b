Feature: Routing to a plain service with stale load reports

  # Guards against all VMs sending to the runner that the last report shows
  # as idle, which makes calls late or refused while another has free slots.
  Scenario Outline: Few more calls are late than with current loads
    When 71 VMs share 2 runners of a plain service at <rate> calls a second
    Then at most <excess> in 1000 more calls are late than with current loads

    Examples:
      | rate | excess |
      | 80   | 10     |
      | 93   | 10     |
