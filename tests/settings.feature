Feature: Settings of an entry VM

  Scenario: The example is valid and fills in defaults
    When settings are read from the example
    Then the settings name the VM "entry-a1" with callers at "127.0.0.1:8700"
    And the settings' timing and sizes have the schema's defaults

  Scenario Outline: A bad setting is refused by name
    When settings are read with <field> set to <value>
    Then the settings are refused at <field> wanting "<wanted>"

    Examples:
      | field                  | value              | wanted            |
      | vm                     | "Entry 1"          | text that matches |
      | data_centre            | null               | type string       |
      | callers                | "300.1.1.1:80"     | IP number         |
      | peers                  | "10.0.0.1:70000"   | up to 65535       |
      | statsd                 | "statsd.local:80"  | text that matches |
      | log_level              | "loud"             | "debug", "info"   |
      | platform.objects       | "ftp://10.0.0.1"   | text that matches |
      | timing.lease_s         | 0                  | at least 0.001    |
      | timing.nap_s           | 1                  | only the fields   |
      | sizes.caller_threads   | 1.5                | type integer      |
      | seeds                  | [{"vm": "a"}]      | required          |

  Scenario Outline: Text that is not strict JSON is refused
    When settings are read from the text <text>
    Then the settings are refused with "<reason>"

    Examples:
      | text                   | reason             |
      | {"vm": "a", "vm": "b"} | stands twice       |
      | {"timing": NaN}        | not a JSON number  |
      | {"vm":                 | not valid JSON     |

  Scenario: The operators' page shows each setting and its default
    Then the settings' page lists exactly the schema's fields
