Feature: The daemon's path keeps what runners say of themselves

  # Guards against calls to a runner that has asked this VM to stay away.
  Scenario: A runner that rests gets no request until the rest is over
    Given a dispatcher with 2 runners
    When runner 1 asks for a rest of 0.4 seconds
    Then 10 requests are all dispatched to runner 2
    And after 0.5 seconds a request that excludes runner 2 goes to runner 1

  Scenario: While all runners rest, requests are refused with the first end
    Given a dispatcher with 2 runners
    When runner 1 asks for a rest of 3 seconds
    And runner 2 asks for a rest of 2 seconds
    Then a request is refused, to return after 1.8 to 2 seconds

  # Guards against requests to a leaving runner that is still listed as ready.
  Scenario: A runner that says that it leaves gets no more requests
    Given a dispatcher with 2 runners
    When runner 1 says to the dispatcher that it leaves
    And the runners are listed again
    Then 10 requests are all dispatched to runner 2

  Scenario Outline: What a runner says is read from its response
    Given an upstream that answers <status> with <header>
    When a request is sent to that upstream
    Then its statement has the rest <rest> and <leaves>

    Examples:
      | status | header                   | rest | leaves |
      | 503    | Retry-After: 1.5         | 1.5  | stays  |
      | 200    | Retry-After: 1.5         | none | stays  |
      | 503    | Retry-After: soon        | none | stays  |
      | 200    | Apricotlever-Leaving: 1  | none | leaves |
      | 500    | Apricotlever-Leaving: 1  | none | leaves |

  Scenario Outline: Fragility is read from every kind of response
    Given an upstream that answers <status> with <header>
    When a request is sent to that upstream
    Then its statement says that it bears <rejections> rejections

    Examples:
      | status | header                     | rejections |
      | 200    | Apricotlever-Fragile: 2    | 2          |
      | 503    | Apricotlever-Fragile: 0    | 0          |
      | 500    | Apricotlever-Fragile: many | none       |

  Scenario: Asking for rest is no failure of a runner
    Then an error response that asks for rest counts as cancelled, others as failed

  # Guards against a runner in need that gets each VM's whole demand.
  Scenario: Each VM keeps its part of a limit
    Given a dispatcher with 1 runners
    When runner 1 names a limit of 8 to 2 VMs
    Then of 40 requests a second for 2 seconds runner 1 gets at most 12, if it takes them before the others
    When runner 1 names no limit any more
    Then 10 requests are all dispatched to runner 1

  # Guards against a path of real requests on which a rest is not read.
  Scenario: A service that asks for rest gets few requests of a real VM
    Given direct connections to 1 engines and 3 services, and 1 entry VMs
    And service-0 turns requests away and asks for a rest of 60 seconds
    When 40 lookups are made one after the other
    Then service-0 has turned away at most 1 of them
    And each lookup got its own answer within 6.0 s
