Feature: Explaining how one request ended from the logs

  Scenario: A broken request is explained from the logs of two VMs
    Given logs of two VMs with a request broken by a reclaimed runner
    When the operator explains "aa11"
    Then the command succeeds and prints "it may have run"
    And it prints that the runner was leaving as a background event
    And it does not print events of other requests

  Scenario: A refused request is explained
    Given logs of two VMs with a request broken by a reclaimed runner
    When the operator explains "bb22"
    Then the command succeeds and prints "over its limit"

  Scenario: A request whose runner sent an invalid response is explained
    Given logs of two VMs with a request broken by a reclaimed runner
    And a log of a request whose runner sent an invalid response
    When the operator explains "gg77"
    Then the command succeeds and prints "sent what is no answer"

  Scenario: A request is explained whose runners wanted no calls
    Given logs of two VMs with a request broken by a reclaimed runner
    And a log of a request whose runners rested
    When the operator explains "hh88"
    Then the command succeeds and prints "rested, left or had no room"
    And the command succeeds and prints "runner_rest"

  Scenario: A request at a VM that reached no runner is explained
    Guards against a refusal that looks like one of the runners.
    Given logs of two VMs with a request broken by a reclaimed runner
    And a log of a VM that reached no runner
    When the operator explains "bb22"
    Then the command succeeds and prints "runners_unreachable"
    And the command succeeds and prints "runners_reachable"

  Scenario: A request that no log line names is reported as an error
    Given logs of two VMs with a request broken by a reclaimed runner
    When the operator explains "cc33"
    Then the command fails and says "no line names the request 'cc33'"

  Scenario: A file without log lines is reported as an error
    Given a file without log lines
    When the operator explains "aa11"
    Then the command fails and says "no log line"

  Scenario: A late stream is explained by its first piece and longest pause
    Guards against logs that give only the total duration of a stream.
    That duration does not distinguish a late start, such as of a prompt
    queued behind longer ones, from a pause in the stream.
    Given logs of two VMs with a request at a VM that was killed
    And a log of a late stream
    When the operator explains "ff66"
    Then the command succeeds and prints "its first piece after 1.31 s"
    And the command succeeds and prints "its longest pause 0.12 s"

  Scenario: A stream that ended with a runner's error is explained
    Guards against a log that doesn't tell by whose word a stream ended.
    Given logs of two VMs with a request broken by a reclaimed runner
    And a log of a stream that ended with a runner's error
    When the operator explains "jj99"
    Then the command succeeds and prints "its last runner's status 500"
    And the command succeeds and prints "0 events from the runner that resumed"

  Scenario: A request whose VM was killed is explained
    Guards against a request without an explanation because its end was not
    logged. The killed VM would have logged it, but was killed while a runner
    processed the request, and restarted.
    Given logs of two VMs with a request at a VM that was killed
    When the operator explains "ee55"
    Then the command succeeds and prints "its VM vm-1 ended while it ran"
    And it prints when the other VM detected the failure

  Scenario: A request whose VM was cut off from its peers is explained
    Given logs of two VMs with a request at a VM that was cut off
    When the operator explains "ee55"
    Then the command succeeds and prints "its VM vm-1 was lost to the others"

  Scenario: A request is explained that had another level or no time
    Given logs of two VMs with a request broken by a reclaimed runner
    And a log of requests at a contended service
    When the operator explains "ii99"
    Then the command succeeds and prints "level 7: its customer was over its share"
    When the operator explains "jj11"
    Then the command succeeds and prints "no runner would have begun"
    And the command succeeds and prints "request_without_time"

  # Guards against a refusal that names no crash, as that was minutes before.
  Scenario: A request that is blocked is explained by the crashes before
    Given logs of two VMs with a request that is blocked for its prompt's part
    When the operator explains "nn22"
    Then the command succeeds and prints "runners ended while they ran"
    And the command succeeds and prints "vm-2 runner_crashed"
    And the command succeeds and prints "calls=nn11"
    And the command succeeds and prints "vm-1 crash_cause_found"
    But it does not print the crash of another runner

  # Guards against two timelines of one request that two VMs have handled.
  Scenario: A request that another VM ran is explained from both logs
    Given logs of two VMs with requests that one forwarded to the other
    When the operator explains "kk11"
    Then the command succeeds and prints "forwarded by its VM vm-1 to vm-2"
    And it prints the lines of both VMs in order

  Scenario: A forwarded request that was refused is explained
    Given logs of two VMs with requests that one forwarded to the other
    When the operator explains "kk22"
    Then the command succeeds and prints "had no room for it; its VM vm-1 had"

  Scenario: A request that no other VM could run is explained
    Given logs of two VMs with requests that one forwarded to the other
    When the operator explains "kk33"
    Then the command succeeds and prints "503: its VM reached no runner, and no"

  Scenario: A request is explained whose VM was killed after forwarding it
    Given logs of two VMs with requests that one forwarded to the other
    When the operator explains "kk44"
    Then the command succeeds and prints "its VM vm-1 was lost to the others"

  Scenario: A stream that another VM had begun is explained from both logs
    Given logs of two VMs with a stream that one began and the other resumed
    When the operator explains "mm22"
    Then the command succeeds and prints "it resumed the stream of request mm11"
    And the command succeeds and prints "vm-1 request_routed"
    And the command succeeds and prints "version=v1"
