Feature: Renamed modules and classes keep their new names

  Scenario: No module has its former name
    Then no module has a former name of the glossary
    And each new module of the glossary exists

  Scenario: No class has its former name
    Then no module defines a former class name of the glossary
    And each new class name of the glossary is defined in its module

  Scenario: The heads of failure tests are short
    Then no head in a feature file is longer than three lines

  Scenario Outline: Former names and long heads are detected
    Given a folder with <example>
    Then the check for <check> reports "<finding>"

    Examples:
      | example                   | check               | finding                                 |
      | a module of a former name | former modules      | src/apricotlever/daemon/desk.py         |
      | a bench of a former name  | former modules      | bench/virtual.py                        |
      | no renamed module         | missing modules     | src/apricotlever/daemon/dispatcher.py   |
      | a class of a former name  | former class names  | src/apricotlever/daemon/heir.py: Heir   |
      | a function of that name   | former class names  | src/apricotlever/daemon/heir.py: Heir   |
      | a constant of that name   | former class names  | src/apricotlever/daemon/heir.py: Heir   |
      | an annotated constant     | former class names  | src/apricotlever/daemon/heir.py: Heir   |
      | a class under a condition | former class names  | src/apricotlever/daemon/heir.py: Heir   |
      | no renamed class          | missing class names | src/apricotlever/daemon/heir.py: Taker  |
      | no renamed module         | missing class names | src/apricotlever/daemon/heir.py: Taker  |
      | a comment of 8 lines      | long heads          | tests/example.feature:1: 8 lines        |
      | a scenario of 8 lines     | long heads          | tests/example.feature:3: 8 lines        |
      | a feature of 8 lines      | long heads          | tests/example.feature:2: 8 lines        |
      | a head of 4 lines         | long heads          | tests/example.feature:1: 4 lines        |
      | a head in two parts       | long heads          | tests/example.feature:3: 5 lines        |

  Scenario Outline: New names and short heads are accepted
    Given a folder with <example>
    Then the check for <check> reports nothing

    Examples:
      | example                  | check               |
      | the renamed modules      | former modules      |
      | the renamed modules      | missing modules     |
      | a name taken over        | former modules      |
      | the renamed class        | former class names  |
      | the renamed class        | missing class names |
      | a class name taken over  | former class names  |
      | a former name in a class | former class names  |
      | a head of 3 lines        | long heads          |
      | two heads of 3 lines     | long heads          |
      | a comment without labels | long heads          |

  Scenario Outline: A glossary that can't be read fails the checks
    Then a glossary with <fault> is refused

    Examples:
      | fault                  |
      | no table of modules    |
      | no table of classes    |
      | an empty table         |
      | a row of too few cells |
