Feature: A plain service's answer ends with its connection or with its process

  # Guards against half an answer that passes for a whole one: the end of a
  # service's process closes its connections, and a body without length ends
  # with its connection.
  Scenario Outline: The end of a service's process doesn't complete its answer
    Given a service that sends <answer> and then <end>
    When a call that runs at most once is sent to it
    Then the caller gets <result>

    Examples:
      | answer                       | end    | result             |
      | a body without length        | ends   | an unknown outcome |
      | a body without length        | closes | the answer         |
      | its announced length         | ends   | the answer         |
      | half of its announced length | closes | an unknown outcome |
      | half a chunk                 | closes | an unknown outcome |
      | all chunks                   | ends   | the answer         |
      | half of a head               | closes | an unknown outcome |

  # Guards against an idempotent call that gets half an answer, though another
  # service has a whole one.
  Scenario: An idempotent call whose service ended is sent again
    Given a service that sends a body without length and then ends
    And a service that sends another body without length and then closes
    When an idempotent call is sent to the services in turn
    Then the caller gets the second service's answer
