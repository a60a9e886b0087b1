Feature: The fleet keeps each account's bound, whatever fails
  Real hosts behind the fault proxy; every scenario ends with the check of all
  admissions, merged over all hosts, against rate × window + burst.

  Scenario: All of an account's traffic lands on one host
    Given a limits fleet of hosts "a1 a2 b1" with rate 20 and burst 24
    When the limits callers send 80 requests to each of "a2"
    Then more than 18 were admitted at "a2"
    And the limits bound holds

  Scenario: Each host sees a single request of a small account
    Given a limits fleet of hosts "a1 a2 b1" with rate 4 and burst 4
    When the limits callers send 1 request to each of "a1 a2 b1" in turn
    Then each of them was admitted
    And the limits bound holds

  Scenario: A refusal says that nothing ran and when to come again
    Given a limits fleet of hosts "a1 b1" with rate 2 and burst 4
    When the limits callers send 40 requests to each of "a1 b1"
    Then a refused request reads 429, executed no, with a time to come again
    And the limits bound holds

  Scenario: A holder is killed, and its part is taken when it cannot be used
    Given a limits fleet of hosts "a1 a2 b1" with rate 20 and burst 24
    When limits host "a2" is killed under load on "a1 a2 b1"
    Then host "a1" comes to hold every limits slot of its data centre
    And the limits callers are still served at "a1 b1"
    And the limits bound holds

  Scenario: A holder is paused past its lease and wakes
    Given a limits fleet of hosts "a1 a2 b1" with rate 20 and burst 24
    When limits host "a2" is paused under load on "a1 a2 b1"
    Then host "a1" comes to hold every limits slot of its data centre
    When limits host "a2" wakes under load on "a1 a2 b1"
    Then the limits bound holds

  Scenario: A killed host that comes back on its machine holds its part at once
    Given limits settings of "outage_horizon = 5400"
    And a limits fleet of hosts "a1 b1" with rate 20 and burst 24
    When limits host "a1" is killed under load on "a1 b1"
    And limits host "a1" is started again
    Then host "a1" comes to hold every limits slot of its data centre
    And the limits callers are still served at "a1 b1"
    And the limits bound holds

  Scenario: The platform is away while hosts join and leave
    Given limits settings of "outage_horizon = 5400"
    And a limits fleet of hosts "a1 a2 b1" with rate 20 and burst 24
    When the limits platform goes away and the leases lapse
    Then the limits callers are still served at "a1 a2 b1"
    When limits host "a2" leaves
    And limits host "a3" joins with its settings from before
    Then the limits callers are still served at "a1 b1"
    When the limits platform comes back
    Then the limits callers are still served at "a1 b1"
    And the limits bound holds

  Scenario: A data centre is cut off from the platform and from the others
    Given limits settings of "outage_horizon = 5400"
    And a limits fleet of hosts "a1 b1" with rate 20 and burst 24
    When limits data centre "b" is cut off
    Then the limits callers are still served at "a1 b1"
    When limits data centre "b" is joined again
    Then the limits callers are still served at "a1 b1"
    And the limits bound holds

  Scenario: Answers of peers and of the platform are lost after taking effect
    Given a limits fleet of hosts "a1 a2 b1" with rate 20 and burst 24
    When limits answers are lost under load on "a1 a2 b1"
    Then the limits callers are still served at "a1 a2 b1"
    And the limits bound holds

  Scenario: A host joins under load and takes its part over
    Given a limits fleet of hosts "a1 b1" with rate 20 and burst 24
    When limits host "a2" joins under load on "a1 b1"
    Then hosts "a1 a2" come to hold all limits slots between them
    And the limits callers are still served at "a1 a2 b1"
    And the limits bound holds

  Scenario: A rate is lowered and an account removed under load
    Given a limits fleet of hosts "a1 a2 b1" with rate 40 and burst 40
    When the limits account's rate becomes 4 and its burst 6 under load
    Then the lowered limits bound holds from when it was in force everywhere
    When the limits account is removed
    Then no limits request is admitted any more
    And the limits bound holds

  Scenario: An account at ten times its rate leaves a small one alone
    Given a limits fleet of hosts "a1 b1" with rate 10 and burst 10
    And a limits account "museum" with rate 10 and burst 10 beside it
    When the limits callers send 400 requests while "museum" sends 5
    Then every request of "museum" was admitted
    And the limits bound holds
