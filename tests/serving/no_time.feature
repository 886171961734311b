Feature: Calls that can't begin in time

  # Guards against callers that wait for their whole time in a queue that is
  # longer than it, and against refusals while a runner could take the call.
  Scenario Outline: A call is refused only if no runner can begin it in time
    Given the mode of priorities is <mode>
    And 2 runners that answer prompts and <waiting> waiting tokens at each of <busy>
    And <prompts> prompts of level <level> that have waited for <waited> s
    When a prompt with 2 seconds left is sent
    Then the status is <status> and the refusal is "<reason>"

    Examples:
      | mode    | waiting  | busy | prompts | level | waited | status | reason  |
      | on      | 90000000 | 2    | 5       | 0     | 1.5    | 503    | no_time |
      | on      | 90000000 | 1    | 5       | 0     | 1.5    | 200    | none    |
      | on      | 90000000 | 2    | 5       | 3     | 1.5    | 200    | none    |
      | on      | 90000000 | 2    | 3       | 0     | 1.5    | 200    | none    |
      | on      | 90000000 | 2    | 5       | 0     | 0.5    | 200    | none    |
      | on      | 100      | 2    | 5       | 0     | 1.5    | 200    | none    |
      | observe | 90000000 | 2    | 5       | 0     | 1.5    | 200    | none    |
      | off     | 90000000 | 2    | 5       | 0     | 1.5    | 200    | none    |
