Feature: The fleet keeps each account within its rate limit during failures
  Runs real hosts behind the fault proxy. Every scenario ends by checking the
  admissions of all hosts together against rate × window + burst, in every window.

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

  Scenario: A refusal states that nothing ran and when to retry
    Given a limits fleet of hosts "a1 b1" with rate 2 and burst 4
    When the limits callers send 40 requests to each of "a1 b1"
    Then a refused request has status 429, executed no and a retry time
    And the limits bound holds

  Scenario: A killed host's slots are taken over once it can't use them
    Given a limits fleet of hosts "a1 a2 b1" with rate 20 and burst 24
    When limits host "a2" is killed under load on "a1 a2 b1"
    Then host "a1" eventually holds every limits slot of its data centre
    And the limits callers are still served at "a1 b1"
    And the limits bound holds

  Scenario: A host is paused past its lease and resumed
    Given a limits fleet of hosts "a1 a2 b1" with rate 20 and burst 24
    When limits host "a2" is paused under load on "a1 a2 b1"
    Then host "a1" eventually holds every limits slot of its data centre
    When limits host "a2" is resumed under load on "a1 a2 b1"
    Then the limits bound holds

  Scenario: A killed host that restarts on its machine reclaims its slots at once
    Given limits settings of "outage_horizon = 5400"
    And a limits fleet of hosts "a1 b1" with rate 20 and burst 24
    When limits host "a1" is killed under load on "a1 b1"
    And limits host "a1" is restarted
    Then host "a1" eventually holds every limits slot of its data centre
    And the limits callers are still served at "a1 b1"
    And the limits bound holds

  Scenario: The platform is unavailable while hosts join and leave
    Given limits settings of "outage_horizon = 5400"
    And a limits fleet of hosts "a1 a2 b1" with rate 20 and burst 24
    When the limits platform goes down and the leases expire
    Then the limits callers are still served at "a1 a2 b1"
    When limits host "a2" leaves
    And limits host "a3" joins with its earlier settings
    Then the limits callers are still served at "a1 b1"
    When the limits platform recovers
    Then the limits callers are still served at "a1 b1"
    And the limits bound holds

  Scenario: A data centre is partitioned from the platform and the other data centres
    Given limits settings of "outage_horizon = 5400"
    And a limits fleet of hosts "a1 b1" with rate 20 and burst 24
    When limits data centre "b" is partitioned
    Then the limits callers are still served at "a1 b1"
    When limits data centre "b" is reconnected
    Then the limits callers are still served at "a1 b1"
    And the limits bound holds

  Scenario: Answers of peers and the platform are lost after the calls took effect
    Given a limits fleet of hosts "a1 a2 b1" with rate 20 and burst 24
    When limits answers are lost under load on "a1 a2 b1"
    Then the limits callers are still served at "a1 a2 b1"
    And the limits bound holds

  Scenario: A host joins under load and takes over its slots
    Given a limits fleet of hosts "a1 b1" with rate 20 and burst 24
    When limits host "a2" joins under load on "a1 b1"
    Then hosts "a1 a2" eventually share all limits slots
    And the limits callers are still served at "a1 a2 b1"
    And the limits bound holds

  Scenario: A rate is lowered and an account removed under load
    Given a limits fleet of hosts "a1 a2 b1" with rate 40 and burst 40
    When the limits account's rate becomes 4 and its burst 6 under load
    Then the lowered limits bound holds once it is in force everywhere
    When the limits account is removed
    Then no limits request is admitted any more
    And the limits bound holds

  Scenario: An account at ten times its rate doesn't affect another account
    Given a limits fleet of hosts "a1 b1" with rate 10 and burst 10
    And another limits account "museum" with rate 10 and burst 10
    When the limits callers send 400 requests while "museum" sends 5
    Then every request of "museum" was admitted
    And the limits bound holds
