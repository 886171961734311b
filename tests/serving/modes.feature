Feature: Modes of the parts of the request path

  Scenario: Parts that the settings don't name have their defaults
    When the setting modes is {"slots": "off", "performance": "observe"}
    Then the modes are those, sizing observe, returns off, and on for the rest

  Scenario: Parts that are not on by default can be turned on
    When the setting modes is {"sizing": "on", "returns": "on"}
    Then all parts are on

  # Guards against a misspelt part that stays on while the operator takes it
  # to be off.
  Scenario Outline: An unknown part or mode is refused with the allowed names
    When the setting modes is <value>
    Then it is refused as <path>, and the error names <allowed>

    Examples:
      | value             | path        | allowed     |
      | {"slot": "off"}   | modes.slot  | slots       |
      | {"slots": "of"}   | modes.slots | observe     |
      | {"slots": false}  | modes.slots | off         |
      | {"slots": ["on"]} | modes.slots | on          |
      | ["slots"]         | modes       | performance |
