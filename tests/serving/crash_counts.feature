Feature: Crashes of runners that the whole fleet has seen are not forgotten

  # Guards against VMs that forget at each start which calls crash runners.
  Scenario: All VMs are killed after each crash of one prompt part
    When one prompt part crashes runners, and all VMs are killed after each crash
    Then at most three calls with the part reach runners later than 3 s after the fifth crash
