Feature: Streams that are taken up again after the loss of all VMs

  # Guards against streams that callers get joined from two versions.
  Scenario Outline: All VMs are killed beside a release: <way>
    When 60 streams are taken up again after all VMs were killed: <way>
    Then at most two of them hold events of two versions

    Examples:
      | way                         |
      | entries removed             |
      | entries removed in the dark |
      | new version never seen      |
      | kills in series             |
      | runners gone                |

  # Guards against refusing what could go on, as a cure for joined streams.
  Scenario: All VMs are killed while both versions serve
    When 60 streams are taken up again after all VMs were killed: both serve
    Then at most two of them hold events of two versions
    And at least half of those taken up again are whole
