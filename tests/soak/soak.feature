Feature: Real processes under faults from outside

  Scenario: A short soak with a seed keeps all promises
    When a soak with seed 7 disturbs 3 VMs and 6 runners for 4.0 s
    Then it made over 100 calls and broke no promise

  Scenario Outline: A soak notices a promise that is broken
    Given a soaked call <what>
    Then the checks say "<complaint>"

    Examples:
      | what                                         | complaint               |
      | to /once/ that ran twice                     | ran 2 times             |
      | to /once/ that was refused and ran           | and it ran              |
      | to /stream/ whose answer leaves an event out | events                  |
      | to /stream/ that looks whole too early       | looks whole after       |
      | to /stream/ with events of another call      | events of another call  |
      | to /safe/ with the answer to another         | another answer          |
      | to /safe/ with bytes after its answer        | bytes after the answer  |
      | to /safe/ that was refused with 404          | refused with 404        |
      | to /safe/ in the calm that was not served    | in the calm             |
      | that nobody sent                             | nobody had sent it      |

  Scenario: What is allowed is no complaint
    Given a soaked call to /safe/ that ran twice
    Then the checks say nothing

  Scenario: A plan of faults depends on its seed alone
    Then the plans of seed 7 are equal and that of seed 8 differs
