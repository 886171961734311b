Feature: Reports of a VM that lost all runners

  # Guards against sound runners that all VMs avoid, as two VMs that lost their
  # paths to all runners report what they find there.
  Scenario: A VM that lost all runners reports nothing bad of them
    Given a VM whose runners all reset its connections and refuse new ones
    When 6 calls are made and the VM finds that it lost its runners
    Then it reports no failure, silence, refusal or crash

  # Guards against calls that a VM refuses for half an hour, as it took its own
  # loss of paths for crashes.
  Scenario: Calls that broke off when a VM lost its runners are not blocked
    Given a VM whose runners all reset its connections and refuse new ones
    When 6 calls are made and the VM finds that it lost its runners
    And its runners are back
    Then a call like those before is served

  Scenario: A VM reports the failures of runners while another one answers
    Given a VM all of whose runners but one reset each call
    When 30 calls are made until failures may be reported
    Then it reports failures, and none of the runner that answers
