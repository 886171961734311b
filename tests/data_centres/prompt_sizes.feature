Feature: Sizes of the prompts of all VMs

  Scenario: The counts of all VMs give the mean and the variation
    Given 5 VMs that send prompts of 100, 100 and 1000 tokens
    Then the mean is 400 tokens and the squared coefficient of variation 1.125

  Scenario: Old sizes are forgotten
    Given 5 VMs that send prompts of 100, 100 and 1000 tokens
    When prompts of 200 tokens follow for 200 seconds
    Then the mean is about 200 tokens and the variation near 0

  # Guards against a peer of another version, or with a fault, that makes all
  # VMs take a wrong variation.
  Scenario Outline: Counts that no prompts can have are ignored
    Given 5 VMs that send prompts of 100, 100 and 1000 tokens
    When a peer sends <counts> for <service>
    Then the mean is 400 tokens and the squared coefficient of variation 1.125

    Examples:
      | counts               | service |
      | 10, 1000             | llm     |
      | 0, 0, 0              | llm     |
      | -3, 300, 30000       | llm     |
      | 10, 1000, 99         | llm     |
      | 10, -1000, 100000    | llm     |
      | 1, 20000000, 1       | llm     |
      | 9000000, 9000000, 9000000 | llm |
      | 1000, 1000, 1000     | other   |
