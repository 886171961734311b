Feature: Settings of an entry VM

  Scenario: The example is valid, and omitted settings have defaults
    When settings are read from the example
    Then the settings have the VM "entry-a1" and the caller address "127.0.0.1:8700"
    And the settings' timing and sizes have the schema's defaults

  Scenario Outline: An invalid setting is rejected with the name of the field
    When settings are read with <field> set to <value>
    Then the settings are rejected at <field>, expecting "<expected>"

    Examples:
      | field                  | value              | expected          |
      | vm                     | "Entry 1"          | text that matches |
      | data_centre            | null               | type string       |
      | callers                | "300.1.1.1:80"     | IP address        |
      | peers                  | "10.0.0.1:70000"   | up to 65535       |
      | statsd                 | "statsd.local:80"  | text that matches |
      | log_level              | "loud"             | "debug", "info"   |
      | platform.objects       | "ftp://10.0.0.1"   | text that matches |
      | timing.lease_s         | 0                  | at least 0.001    |
      | timing.nap_s           | 1                  | only the fields   |
      | sizes.caller_threads   | 1.5                | type integer      |
      | seeds                  | [{"vm": "a"}]      | required          |

  Scenario Outline: Text that is not strict JSON is rejected
    When settings are read from the text <text>
    Then the settings are rejected with "<reason>"

    Examples:
      | text                   | reason             |
      | {"vm": "a", "vm": "b"} | duplicate key      |
      | {"timing": NaN}        | not a JSON number  |
      | {"vm":                 | not valid JSON     |

  Scenario: The operators' page shows each setting and its default
    Then the settings' page lists exactly the schema's fields
