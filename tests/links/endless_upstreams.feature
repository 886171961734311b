Feature: An upstream that sends bytes without end is left at once

  # Guards against a thread that reads heads or trailers for ever.
  Scenario Outline: A response without end is refused
    Given an upstream that sends <what> without end
    When <client> calls it
    Then the call fails within 5 seconds

    Examples:
      | what            | client                  |
      | interim heads   | the client of upstreams |
      | lines of a head | the client of upstreams |
      | a line of a head | the client of upstreams |
      | a chunk extension | the client of upstreams |
      | trailers        | the client of upstreams |
      | a body          | the client of upstreams |
      | interim heads   | the client of the platform |
      | lines of a head | the client of the platform |
      | trailers        | the client of the platform |
      | a body          | the client of the platform |
