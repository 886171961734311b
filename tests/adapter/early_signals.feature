Feature: Signals while a process starts

  # Guards against a VM that a reload ends, as it was just starting and had no
  # handler of the signal yet.
  Scenario: A reload while a process starts doesn't end it
    Given a process of an entry VM that has just been started
    When it is told to reload before it listens
    Then it listens
