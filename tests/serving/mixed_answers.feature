Feature: What a runner in trouble sends is not taken for an answer

  # Guards against a part of an answer that passes for the whole one.
  Scenario Outline: A body without a length ends <when>
    When a runner ends a body without a length <when> of 3 MiB
    Then the answer is <result>

    Examples:
      | when                                 | result    |
      | and resets, during an upload         | no answer |
      | and stays, during an upload          | no answer |
      | after it has read an upload          | complete  |

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
