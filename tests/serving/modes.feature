Feature: Modes of the parts of the request path

  Scenario: Parts that the settings don't name are on
    When the setting modes is {"slots": "off", "sizing": "observe"}
    Then slots is off, sizing is observe and notices is on

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
