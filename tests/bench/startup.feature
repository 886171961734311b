Feature: A process listens long before it can serve

  Scenario: Listening needs few modules
    After a power failure of all VMs, callers connect while the VMs load their
    modules. Ports that are opened last refuse callers for a quarter of a
    second more, in which the callers use up their last retries.
    When the modules that a VM needs to listen are loaded
    Then neither the event loop nor the request path is among the loaded modules

  Scenario: The steps of a start are measured
    When the steps of a start are measured once
    Then listening takes less processor time than serving
