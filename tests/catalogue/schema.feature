Feature: Checks of a catalogue document

  Scenario Outline: The examples are valid
    Then the catalogue file <file> has <entries> entries and <customers> customers

    Examples:
      | file                      | entries | customers |
      | examples/procurador.json  | 3       | 5         |
      | examples/consorzio.json   | 3       | 5         |
      | examples/catalogue.json   | 6       | 10        |

  Scenario Outline: A bad catalogue is refused by name
    When the example catalogue is changed so that <field> is <value>
    Then the catalogue is refused at <field> wanting "<wanted>"

    Examples:
      | field                                   | value           | wanted             |
      | entries.mandate-check.class             | "fast"          | under classes      |
      | entries.mandate-check.kind              | "modle"         | "model", "service" |
      | entries.mandate-check.capacity          | null            | type object        |
      | entries.mandate-check.customers         | ["nobody"]      | under customers    |
      | entries.mandate-check.non_idempotent    | ["POST /x"]     | no such field      |
      | entries.registo-app.non_idempotent      | ["post /x"]     | text that matches  |
      | entries.registo-app.model               | "apricot-7b"    | no such field      |
      | entries.registo-app.limits.concurrent   | 0               | at least 1         |
      | entries.mandate-check.limits.spend      | 5               | only the fields    |
      | entries.mandate-check.capacity.max_runners | 1            | at least min_runners |
      | classes.register.shed_order             | 10              | at most 9          |
      | classes.register.first_token_s          | 0               | more than 0        |
      | customers.belem.key_sha256              | "secret"        | text that matches  |
      | customers.belem.weight                  | -1              | more than 0        |
      | entries.Bad Name                        | {}              | required           |

  Scenario: Two customers can't share a key
    Symptom: one customer reads another's answers.
    Events: an operator copies a customer and forgets the key.
    Cause: a bearer key then names whichever customer comes last.
    When the example catalogue gives two customers one key
    Then the catalogue is refused at customers.belem.key_sha256 wanting "no other customer"

  Scenario: Leaving out what is required names all of it
    When the example catalogue's entry mandate-check is emptied
    Then the catalogue's faults name owner, kind, class, upstreams, capacity

  Scenario: The operators' page shows each field of the catalogue
    Then the catalogue's page lists exactly the schema's fields
