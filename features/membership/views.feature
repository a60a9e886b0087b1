Feature: Membership views of hosts
  Members are identified by name and incarnation; dead members are forgotten in
  bounded time; other data centres are known by rosters.

  Scenario: A forgotten member is not brought back by a peer that still has it
    Given membership: hosts "a1, a2, a3" in data centre "a"
    When membership: the hosts exchange for 10 seconds
    And membership: "a3" stops
    And membership: "a1, a2" exchange for 200 seconds
    Then membership: "a1, a2" have forgotten "a3"

  Scenario: A host that restarts is a new member, even if its clock is behind
    Given membership: hosts "a1, a2" in data centre "a"
    When membership: the hosts exchange for 5 seconds
    And membership: "a2" restarts with incarnation 1
    And membership: the hosts exchange for 10 seconds
    Then membership: "a1" sees the new process of "a2" as live

  Scenario: A host that was paused is listed again
    Given membership: hosts "a1, a2, a3" in data centre "a"
    When membership: the hosts exchange for 5 seconds
    And membership: while "a3" is paused "a1, a2" exchange for 100 seconds
    Then membership: "a1, a2" do not list "a3"
    When membership: the hosts exchange for 10 seconds
    Then membership: every host lists "a1, a2, a3"

  Scenario: A member that is reachable in one direction only stays listed through others
    Given membership: hosts "a1, a2, a3" in data centre "a"
    When membership: the hosts exchange for 20 seconds, "a1" not reaching "a3"
    Then membership: every host lists "a1, a2, a3"

  Scenario: Other data centres are known by their rosters
    Given membership: hosts "a1, a2, a3" in data centre "a"
    And membership: hosts "b1, b2, b3" in data centre "b"
    And membership: hosts "c1, c2" in data centre "c"
    When membership: "b2" publishes "public entry" to all and "local entry" to its own data centre
    And membership: the hosts exchange for 20 seconds
    Then membership: every host lists "a1, a2, a3, b1, b2, b3, c1, c2"
    And membership: "a3" reads "public entry" of "b2" and no "local entry"
    When membership: the hosts exchange for 20 seconds with "b" cut off
    Then membership: "a1" lists "a1, a2, a3, c1, c2"
    And membership: "b1" lists "b1, b2, b3"
    When membership: the hosts exchange for 20 seconds
    Then membership: every host lists "a1, a2, a3, b1, b2, b3, c1, c2"

  Scenario: Real hosts notice that a host is killed and started again
    Given membership: three real hosts in two data centres
    When membership: host "a2" is killed
    Then membership: the real hosts list "a1, b1"
    When membership: host "a2" is started again
    Then membership: the real hosts list "a1, a2, b1"

  Scenario Outline: Slow replies don't keep a data centre live that is cut off
    Given membership: 24 hosts whose requests and replies take <transit> s each
    When membership: they exchange for 5 s
    Then membership: 24 of them list the other data centre's host as live
    When membership: nothing has arrived from there for 11 s
    Then membership: 0 of them list the other data centre's host as live

    Examples:
      | transit |
      | 0.002   |
      | 0.2     |
      | 0.4     |
