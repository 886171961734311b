Feature: Handlers of what callers ask

  Scenario Outline: A request is held to one version of the catalogue
    Symptom: a caller gets a 404 or a 500 while an operator edits the catalogue.
    Events: a request's entry is looked up; an edit takes the entry and its
    class away; the entry's class is looked up.
    Cause: each look-up reads the catalogue that is in force by then.
    Given a gateway whose catalogue is replaced after <count> readings
    When a <kind> request reaches that gateway, whose desk sheds all
    Then that gateway's refusal is "overloaded", not a fault

    Examples:
      | kind    | count |
      | model   | 1     |
      | model   | 2     |
      | service | 1     |
      | service | 2     |

  Scenario: Operators' pages are kept from customers
    Symptom: one customer reads what another one spends.
    Events: a customer asks for the status page of an entry VM.
    Cause: the page is open to all who reach the port.
    Given a fleet whose operators have a key
    When a customer asks for the status and the histograms
    Then neither is shown
    And the client with the operators' key shows the status
