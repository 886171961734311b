Feature: The catalogue's values

  Scenario Outline: Another spelling of a path is the same call
    Symptom: a registration is doubled.
    Events: a caller spells the path its own way, an attempt fails.
    Cause: the call was taken for an idempotent one and sent again.
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

  Scenario: A bearer key names its customer
    Then the catalogue key "demo-belem" belongs to "belem"
    And the catalogue key "demo-belem " belongs to nobody
    And the catalogue key "" belongs to nobody

  Scenario: An entry is open to the customers it names, or to all
    Then the catalogue entry "itinerary" allows "sala-etna" and not "kiosks"
    And the catalogue entry "access-core" allows "sala-etna" and "kiosks"

  Scenario: A parsed document gives the same document back
    Then writing out the example catalogues changes nothing
