Feature: The model of the catalogue

  Scenario Outline: Equivalent paths match the same call pattern
    Guards against a duplicate registration: a call with an unusual spelling
    of its path counted as idempotent and was sent again after a failed
    attempt.
    Then the catalogue's registo-app call <method> <path> is <kind>

    Examples:
      | method | path                    | kind           |
      | POST   | /registrations          | non-idempotent |
      | post   | /registrations/12?a=b   | non-idempotent |
      | POST   | //registrations         | non-idempotent |
      | POST   | /x/../registrations     | non-idempotent |
      | POST   | /%72egistrations        | non-idempotent |
      | POST   | /Registrations          | non-idempotent |
      | POST   | registrations           | non-idempotent |
      | GET    | /registrations          | idempotent     |
      | POST   | /status                 | idempotent     |

  Scenario: A bearer key identifies its customer
    Then the catalogue key "demo-belem" belongs to "belem"
    And the catalogue key "demo-belem " belongs to nobody
    And the catalogue key "" belongs to nobody

  Scenario: An entry allows the customers that it lists, or all customers
    Then the catalogue entry "itinerary" allows "sala-etna" and not "kiosks"
    And the catalogue entry "access-core" allows "sala-etna" and "kiosks"

  Scenario: Parsing and serializing a document gives the same document
    Then parsing and serializing the example catalogues changes nothing
