Feature: HTTP handlers of an entry VM

  Scenario Outline: A request uses one version of the catalogue
    Guards against a 404 or 500 during an edit of the catalogue: a request
    looks up its entry, the edit removes the entry and its class, and the
    request looks up the class in the new catalogue.
    Given a gateway whose catalogue is replaced after <count> reads
    When a <kind> request reaches a gateway whose dispatcher refuses everything
    Then the gateway refuses the request with "overloaded"

    Examples:
      | kind    | count |
      | model   | 1     |
      | model   | 2     |
      | service | 1     |
      | service | 2     |

  Scenario: Customers can't read the operators' pages
    Guards against a customer that reads on the status page of an entry VM what
    other customers spend, because the page is shown to everyone who can reach
    the port.
    Given a fleet whose operators have a key
    When a customer asks for the status and the histograms
    Then neither is shown
    And the client with the operators' key shows the status
