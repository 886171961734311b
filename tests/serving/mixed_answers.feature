Feature: What a runner in trouble sends is not taken for an answer

  # Guards against statuses that HTTP doesn't have.
  Scenario Outline: A runner answers with the status <status>
    When a runner answers with the status <status>
    Then the answer is <result>

    Examples:
      | status | result    |
      | 000    | no answer |
      | 099    | no answer |
      | 600    | no answer |
      | 999    | no answer |
      | 599    | complete  |
      | 200    | complete  |
