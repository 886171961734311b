Feature: The demo's checks can fail

  Scenario: Nothing is broken
    Given a demo run in which all went well
    Then the demo finds no broken promise

  Scenario Outline: One broken promise is found
    Given a demo run in which <event>
    Then the demo finds exactly the broken promise "<promise>"

    Examples:
      | event                              | promise                                     |
      | a stream was lost                  | accepted requests are answered whole and in order |
      | a token came twice                 | no token reaches a caller twice             |
      | a registration ran twice           | non-idempotent calls run at most once       |
      | an acknowledged call never ran     | an acknowledged call did run                |
      | a refused call had run             | refused with executed=no was not run        |
      | a refused stream had run           | refused with executed=no was not run        |
      | a leaving runner got work          | leaving runners get no new work             |
      | an entry VM ended with a fault     | entry VMs stop gracefully                   |
      | a fault did not come true          | every fault came true                       |
