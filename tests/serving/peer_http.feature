Feature: Entry VMs fetch news from each other

  # Guards against a version with 1,800 more routes that is late at half of 75
  # VMs: they fetch 0.4 MB uncompressed from three VMs, which takes 0.7 s on the
  # slowest links, exceed a timeout of 0.8 s, and begin again elsewhere.
  Scenario: A large configuration is compressed and has a longer timeout
    Given a VM with a configuration of 1900 routes
    When 20 other VMs fetch it
    Then each of them gets it unchanged
    And it was encoded once, into less than a quarter of its length
    And the timeout of its fetch is at least 2 seconds

  Scenario: A configuration that is not newer is not sent
    Given a VM with a configuration of 3 routes
    When a VM that has the same version fetches it
    Then no configuration is returned

  # Guards against fetches of runners that fail at once, as the connections to
  # the peer are taken by a configuration and the whole directory, which take
  # seconds on a slow link.
  Scenario: A configuration takes no connection from fetches of runners
    Given a peer that answers nothing but the changes of runners after 7
    When a VM fetches its configuration, its whole directory and those changes
    Then the changes arrive

  # Guards against VMs with several addresses that are strangers to each other.
  Scenario: A VM connects from the address by which it is known
    Given a VM with a configuration of 3 routes
    And it knows a VM at 127.0.0.3 only
    When VMs at 127.0.0.3 and 127.0.0.4 fetch it five times each
    Then the first one gets it and the other does not
    And the refusals of the other are one line of its log
