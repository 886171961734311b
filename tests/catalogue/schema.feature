Feature: Validation of catalogue documents

  Scenario Outline: The examples are valid
    Then the catalogue file <file> has <entries> entries and <customers> customers

    Examples:
      | file                      | entries | customers |
      | examples/procurador.json  | 3       | 5         |
      | examples/consorzio.json   | 3       | 5         |
      | examples/catalogue.json   | 6       | 10        |

  Scenario Outline: An invalid catalogue is rejected with the name of the field
    When the example catalogue is changed so that <field> is <value>
    Then the catalogue is rejected at <field>, expecting "<expected>"

    Examples:
      | field                                   | value           | expected           |
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
    Guards against a customer who reads another's answers: an operator
    copies a customer without changing the key, and the key then identifies
    the last customer that has it.
    When the example catalogue gives two customers one key
    Then the catalogue is rejected at customers.belem.key_sha256, expecting "no other customer"

  Scenario: All missing required fields are named
    When the example catalogue's entry mandate-check is replaced by an empty object
    Then the catalogue's faults name owner, kind, class, upstreams, capacity

  Scenario: The operators' page shows each field of the catalogue
    Then the catalogue's page lists exactly the schema's fields
