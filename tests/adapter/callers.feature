Feature: The adapter's translation of calls and answers

  Scenario: A caller's call becomes the product's
    When the adapter reads a call with a prompt of 1460 and 80 tokens
    Then the product sees its key, its patience of 8.0 s and 3 prompt parts
    And headers of the connection are left out

  Scenario Outline: Malformed calls are refused by the adapter
    When the adapter reads a call with <fault>
    Then it says that the call is malformed

    Examples:
      | fault                  |
      | two hosts              |
      | an absolute target     |
      | a deadline of letters  |
      | a deadline of infinity |
      | parts without lengths  |

  # Symptom: one customer's call runs as another's, or goes on from another
  # call's memory.
  # Events: a caller sends the headers that only the system sets.
  # Cause: unknown headers passed on as they came.
  Scenario: A caller can't set what only the system sets
    When a call that forges the system's headers is sent to a runner
    Then the runner sees the system's own values and nothing forged

  Scenario: A runner's promise is read, and nothing else taken for one
    Then only a marked answer promises that a call has not run

  Scenario: A configuration becomes routes, services, customers and limits
    When the adapter reads a configuration with a split route
    Then the product finds the longest prefix, the split and the customer

  Scenario: A runner's entry becomes a runner
    When the adapter reads the entry of a leaving runner
    Then the product knows its address and that it leaves

  Scenario: Store calls are written as the platform reads them
    Then list, watch, create and replace have their paths and queries

  Scenario: Settings become the product's
    When the adapter reads a settings file
    Then the product knows its addresses, bounds and duties

  Scenario: The platform's names stand in the adapter alone
    Then no source of the product or its stand-ins has a name of the platform
