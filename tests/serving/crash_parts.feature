Feature: Calls with one prompt part that crashes runners

  # Guards against runners that crash one after the other under calls that have
  # one part in common, and against refusing sound calls of the same customer
  # and other parts for it.
  Scenario Outline: A bad part reaches few runners, and sound calls go on
    When <kind> are played beside calls with a bad part that is the <place> one, and runners end with <end>
    Then no call with the part runs later than 3 seconds after the fifth crash
    And at least half of the sound calls are answered from 2 seconds after the last crash on

    Examples:
      | kind             | place  | end                          |
      | idempotent calls | second | a reset before their answer  |
      | idempotent calls | first  | a close within their answer  |
      | streams          | second | a close within an event      |
      | streams          | first  | a reset before their answer  |

  # Guards against calls that count as one, as only their prompts differ: the
  # answers to sound ones then clear those with a bad part.
  Scenario: Calls with equal bodies and other prompts are told apart
    When idempotent calls that differ by their declared prompts alone are played beside calls with a bad part
    Then no call with the part runs later than 3 seconds after the fifth crash
    And at least half of the sound calls are answered from 2 seconds after the last crash on
