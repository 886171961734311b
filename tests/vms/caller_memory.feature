Feature: What callers hold of a VM's memory is bounded in sum

  # Guards against large calls that end a process, or keep small ones out.
  Scenario: The largest calls that aren't read to their end give way first
    Given a machine of 10 MB, of which callers may hold 4
    When connections hold 1000 1000 900 700 300 20 KB of calls not read to their end
    And a call of 80 KB is read to its end
    Then that call is admitted
    And the connections of 1000 KB alone have given way

  Scenario: A large call that finds no room is refused, and a small one isn't
    Given a machine of 10 MB, of which callers may hold 4
    When calls that hold 2900 KB are being answered
    Then a call of 200 KB is refused
    And a call of 60 KB is admitted

  Scenario: Without a known size of the machine nothing gives way
    Given a machine of 0 MB, of which callers may hold 0
    When connections hold 90000 90000 KB of calls not read to their end
    Then a call of 90000 KB is admitted

  # Guards against an account that never empties, and then refuses everybody.
  Scenario Outline: Nothing is held for callers that have left <when>
    When a connection brings <calls> calls with bodies, and ends <when>
    Then callers hold nothing

    Examples:
      | calls | when                      |
      | 1     | at once                   |
      | 40    | at once                   |
      | 1     | after the call began      |
      | 40    | after the call began      |
      | 40    | after all were answered   |

  # Guards against a response that breaks off at a slow caller that reads on.
  Scenario Outline: A caller that takes <taken> bytes a second is <result>
    When a large response is taken at <taken> bytes a second
    Then its connection is <result> after 30 s

    Examples:
      | taken | result      |
      | 1000  | still there |
      | 0     | reset       |
