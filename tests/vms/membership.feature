Feature: Membership of the entry VMs

  Scenario: VMs find each other from one seed node
    Given a gossip fleet of 9 VMs in 3 data centres
    Then within 10 s every gossip VM sees exactly the running VMs

  Scenario: All VMs detect a crash
    A process ends without announcing it, so only missing acks show the crash.
    Requests would go to an entry VM that does not run any more.
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When gossip VM "d0-v1" crashes
    Then within 15 s every gossip VM sees exactly the running VMs

  Scenario: Message loss does not get a running VM declared dead
    One message in ten is lost for two minutes. A lost ack looks the same as a
    dead VM, so peers could drop a VM that serves well.
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When for 120 s the gossip network loses 10 in 100 messages
    Then no running gossip VM was declared dead

  Scenario: Heartbeats alone declare running VMs dead under message loss
    Given a heartbeat fleet of 9 VMs in 3 data centres
    When for 120 s the gossip network loses 20 in 100 messages
    Then some running gossip VM was declared dead

  Scenario: Indirect probes tolerate the same message loss
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When for 120 s the gossip network loses 20 in 100 messages
    Then no running gossip VM was declared dead

  Scenario: A paused VM does not declare the other VMs dead
    After a pause of 10 s all timers have expired at the first tick. Unless
    the VM detects its own pause, it declares all its peers dead and routes
    nothing to them.
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When gossip VM "d0-v1" pauses for 10 s
    Then gossip VM "d0-v1" declared no running VM dead
    And gossip VM "d0-v1" reported a pause of about 10 s
    And within 15 s every gossip VM sees exactly the running VMs

  Scenario: A paused VM declares all others dead with heartbeats alone
    Given a heartbeat fleet of 9 VMs in 3 data centres
    When gossip VM "d0-v1" pauses for 10 s
    Then gossip VM "d0-v1" declared 8 running VMs dead

  Scenario: Two VMs that cannot reach each other are not suspected
    Only the link between two healthy VMs fails, and neither gets an answer
    from the other. All VMs could come to take both for dead.
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When gossip VMs "d0-v1" and "d1-v1" cannot reach each other for 60 s
    Then no gossip VM was suspected

  Scenario: A restarted VM replaces its old process
    A VM restarts under the same name while its old process still runs. By
    the name alone, keys of the old process would be taken for live ones.
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When gossip VM "d0-v1" is replaced while its old process still runs
    Then within 10 s every gossip VM knows that incarnation 1 of "d0-v1" ended
    And the old process of "d0-v1" was told that it is superseded

  Scenario: A leaving VM gets no new work but stays in all views
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When gossip VM "d0-v1" announces that it leaves
    Then within 2 s no gossip VM sends new work to "d0-v1"
    And every gossip VM still sees "d0-v1"
    When gossip VM "d0-v1" announces its exit
    Then within 3 s every gossip VM knows that incarnation 1 of "d0-v1" ended

  Scenario: A suspicion does not undo an announced leave
    A VM that does not know of the leave suspects the leaving VM. Its record
    has precedence but lacks the leave, so new work could go to a VM that is
    about to stop.
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When gossip VM "d0-v1" announces that it leaves
    And gossip VM "d0-v1" is suspected by a VM that does not know of the leave
    Then within 4 s no gossip VM sends new work to "d0-v1"
    And every gossip VM records "d0-v1" as leaving

  Scenario: Data centres rejoin after a network partition
    A data centre is cut off for a minute, and each side declares the other
    dead. After the partition, a view from the other side names live VMs as
    dead and could make a VM drop peers of its own side.
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When data centre "d0" is partitioned from the gossip network for 60 s
    Then within 30 s every gossip VM sees exactly the running VMs
    And since the partition healed no running gossip VM was declared dead

  Scenario: A stale entry of the platform's list does not resurrect a dead VM
    The platform's list lags: it names a dead VM for minutes. Requests could
    go to an address where nobody listens.
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When gossip VM "d0-v1" crashes
    And 20 s later the platform lists "d0-v1" with its old address
    Then for 60 s no gossip VM sees "d0-v1"

  Scenario: Another VM at a dead VM's address is not mistaken for that VM
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When gossip VM "d0-v1" crashes and "new" takes its address
    Then within 20 s every gossip VM sees exactly the running VMs

  Scenario: A VM paused for long does not resurrect a dead VM
    A VM is paused for 20 minutes. Meanwhile another VM dies and its tombstone
    expires, so no record has precedence over the old one in the paused VM's
    view, which would bring the dead VM back everywhere.
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When gossip VM "d0-v1" pauses for 1200 s and "d1-v0" crashes meanwhile
    Then for 60 s no gossip VM sees "d1-v0"
    And within 1 s every gossip VM sees exactly the running VMs

  Scenario: A large fleet sees other data centres by summary
    Given a large gossip fleet of 24 VMs in 4 data centres
    Then within 10 s each gossip VM sees 6 members and 4 summaries
    And the gossip view counts 24 members

  Scenario: Rumours reach exactly their scope, once, in a large fleet
    Given a large gossip fleet of 24 VMs in 4 data centres
    When gossip VM "d0-v0" announces a runner that leaves to the fleet
    And gossip VM "d0-v0" announces a runner's load to its data centre
    Then within 10 s the leaving runner is known at 23 gossip VMs, once each
    And within 10 s the load is known at 5 gossip VMs, once each

  Scenario: The same announcement by two VMs is forwarded once
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When gossip VMs "d0-v0" and "d0-v1" announce the same catalogue
    Then within 3 s the gossip catalogue is known at 1 VMs of "d0", once each

  Scenario: Many rumours do not exceed the size limit of messages
    Given a converged gossip fleet of 9 VMs in 3 data centres
    When gossip VM "d0-v0" announces 2000 loads and a runner that leaves
    Then within 2 s the leaving runner is known at 8 gossip VMs, once each
    And no gossip message carried more than 1200 bytes beside its frame

  Scenario: Rumours arrive at most once whatever the network does
    Then with any loss and order every rumour comes at most once and ages
