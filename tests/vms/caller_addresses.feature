Feature: The VMs that callers are sent to

  # Guards against callers that are sent to VMs which reach no runner, and
  # against an empty list when all of them do not.
  Scenario Outline: Isolated VMs are listed only if all are isolated
    Given this VM is <own>
    And its peers are <peers>
    Then the listed VMs are <listed>

    Examples:
      | own         | peers                              | listed        |
      | ready       | ready, ready                       | own, p-1, p-2 |
      | ready       | isolated, ready                    | own, p-2      |
      | isolated    | ready, ready                       | p-1, p-2      |
      | isolated    | isolated, ready                    | p-2           |
      | isolated    | isolated, isolated                 | own, p-1, p-2 |
      | isolated    | isolated, leaving                  | own, p-1      |
      | not ready   | isolated, isolated                 | p-1, p-2      |
      | not ready   | isolated, ready                    | p-2           |
      | ready       | isolated, isolated                 | own           |
      | isolated    | isolated and leaving, not ready    | own           |
