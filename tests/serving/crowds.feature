Feature: Callers that don't behave end no VM

  # Guards against requests, legal each by itself, whose sum ends a process.
  Scenario Outline: A crowd connects: <crowd>
    When a crowd connects to a VM of 100 MB and 600 descriptors: <crowd>
    Then the VM's process lives, within its memory and descriptors
    And an ordinary call is answered beside the crowd and after it

    Examples:
      | crowd                                            |
      | heads of short lines, not ended                  |
      | heads of short lines in small pieces, not ended  |
      | heads of odd lines, not ended                    |
      | whole heads of short lines                       |
      | bodies one byte short                            |
      | bodies in small pieces, one byte short           |
      | whole bodies                                     |
      | large chunks, not ended                          |
      | chunks of one byte, not ended                    |
      | pipelined calls, unread                          |
      | pipelined calls with bodies, unread              |
      | large answers, unread                            |
      | connections without a byte                       |
      | heads of short lines at lookups, not ended       |
      | bodies at the readiness check, one byte short    |
      | large chunks at the peers' address, not ended    |
      | connections without a byte at the peers' address |
      | connections that expect to be asked for a body   |
      | HTTP/1.0 bodies one byte short                   |
      | trailers without end                             |
      | slow streams, unread                             |

  # Guards against one legal request that ends a process, or is refused in calm.
  Scenario Outline: One odd request inside the limits: <crowd>
    When a crowd connects to a VM of 100 MB and 600 descriptors: <crowd>
    Then the VM's process lives, within its memory and descriptors
    And the crowd's request is served
    And an ordinary call is answered beside the crowd and after it

    Examples:
      | crowd                                |
      | one whole body in chunks of one byte |
      | one whole head of short lines        |
      | one whole body                       |
