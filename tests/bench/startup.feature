Feature: A process listens long before it can serve

  # Symptom: when all VMs get their power back, callers are turned away for a
  # quarter of a second more, and their last tries with them.
  # Events: the VMs load their modules; callers connect meanwhile.
  # Cause: ports that are opened last.
  Scenario: What is loaded before a VM listens is little
    When the modules are loaded that a VM needs to listen
    Then neither the event loop nor the path of calls is among them

  Scenario: The steps of a start are measured
    When the steps of a start are measured once
    Then listening takes less than serving
