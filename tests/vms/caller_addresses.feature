Feature: The VMs that callers are sent to

  # Guards against callers that are sent to VMs which reach no runner, against
  # an empty list when none does, and against all callers at the few that do.
  Scenario Outline: Isolated VMs are listed only if fewer than half reach runners
    Given this VM is <own>
    And its peers are <peers>
    Then the listed VMs are <listed>

    Examples:
      | own         | peers                              | listed        |
      | ready       | ready, ready                       | own, p-1, p-2 |
      | ready       | isolated, ready                    | own, p-2      |
      | isolated    | ready, ready                       | p-1, p-2      |
      | isolated    | isolated, ready                    | own, p-1, p-2 |
      | ready       | ready, isolated, isolated          | own, p-1      |
      | isolated    | isolated, ready, ready             | p-2, p-3      |
      | isolated    | isolated, isolated                 | own, p-1, p-2 |
      | isolated    | isolated, leaving                  | own, p-1      |
      | not ready   | isolated, isolated                 | p-1, p-2      |
      | not ready   | isolated, ready                    | p-2           |
      | ready       | isolated, isolated                 | own, p-1, p-2 |
      | ready       | isolated                           | own           |
      | isolated    | isolated and leaving, not ready    | own           |
