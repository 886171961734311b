Feature: One request's story from the logs

  Scenario: A request that broke off is explained from logs of two VMs
    Given logs of two VMs with a request that broke off at a reclaimed runner
    When the operator explains "aa11"
    Then the command succeeds and prints "it may have run"
    And it prints the runner's leaving as background
    And it does not print what concerns other requests

  Scenario: A request that was refused
    Given logs of two VMs with a request that broke off at a reclaimed runner
    When the operator explains "bb22"
    Then the command succeeds and prints "over its limit"

  Scenario: A request whose runner sent what is no answer
    Given logs of two VMs with a request that broke off at a reclaimed runner
    And a log of a request whose runner sent what is no answer
    When the operator explains "gg77"
    Then the command succeeds and prints "sent what is no answer"

  Scenario: A request that no log names
    Given logs of two VMs with a request that broke off at a reclaimed runner
    When the operator explains "cc33"
    Then the command fails and says "no line names the request 'cc33'"

  Scenario: A file that holds no log
    Given a file that holds no log
    When the operator explains "aa11"
    Then the command fails and says "no log line"

  Scenario: A stream that came late
    Symptom: a caller waited for its stream; the logs hold its whole time.
    Events: a prompt waited behind longer ones; then the stream went on.
    Cause: the whole time of a stream doesn't tell a late start from a pause.
    Given logs of two VMs with requests at a VM that was killed
    And a log of a stream that came late
    When the operator explains "ff66"
    Then the command succeeds and prints "its first piece after 1.31 s"
    And the command succeeds and prints "its longest pause 0.12 s"

  Scenario: A request whose VM was killed
    Symptom: the logs hold no end of a request.
    Events: its VM is killed while a runner works on it, and starts again.
    Cause: the line of the end would have been written by the killed process.
    Given logs of two VMs with requests at a VM that was killed
    When the operator explains "ee55"
    Then the command succeeds and prints "its VM vm-1 ended while it ran"
    And it prints when the other VM noticed

  Scenario: A request whose VM was cut off
    Given logs of two VMs with requests at a VM that was cut off
    When the operator explains "ee55"
    Then the command succeeds and prints "its VM vm-1 was lost to the others"
