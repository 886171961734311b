Feature: The demo detects each broken promise

  Scenario: A run without failures breaks no promise
    Given a demo run in which nothing failed
    Then the demo reports no broken promise

  Scenario Outline: Each broken promise is reported alone
    Given a demo run in which <event>
    Then the demo reports exactly the broken promise "<promise>"

    Examples:
      | event                                  | promise                                           |
      | a stream was lost                      | accepted requests are answered whole and in order |
      | a token was received twice             | no token reaches a caller twice                   |
      | a registration was executed twice      | non-idempotent calls run at most once             |
      | an acknowledged call was not executed  | an acknowledged call did run                      |
      | a refused call was executed            | refused with executed=no was not run              |
      | a refused stream was executed          | refused with executed=no was not run              |
      | a leaving runner got a new request     | leaving runners get no new work                   |
      | an entry VM exited with an error       | entry VMs stop gracefully                         |
      | injecting a fault failed               | every fault came true                             |
