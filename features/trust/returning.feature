Feature: An ejected endpoint comes back by trials, and grows back

  Background:
    Given a host that hears 0 others, and 10 endpoints in 2 data centres
    And "e0" was ejected

  Scenario: An endpoint that is well again stays away
    When 1.1 s pass
    Then "e0" may be tried
    When "e0" answers 3 trials
    Then no endpoint is barred

  Scenario: An endpoint that comes back gets its whole share at once
    When 1.1 s pass
    And "e0" answers 3 trials
    Then a request costs 8 times as much at "e0"
    When 1.5 s pass
    Then a request costs 2 times as much at "e0"
    When 1.6 s pass
    Then a request costs 1 times as much at "e0"

  Scenario: Many requests are spent on trials at the same time
    When 1.1 s pass
    And a trial begins at "e0"
    Then "e0" may not be tried
    When the trial is given up, and 2.1 s pass
    Then "e0" may be tried

  Scenario: A request that may run once only is spent on a trial
    When 1.1 s pass
    Then "e0" may not be tried by a request that may run once only
    When 3.1 s pass
    Then "e0" may be tried by a request that may run once only

  Scenario: An endpoint that fails its trial is tried again as soon as before
    When 1.1 s pass
    And "e0" fails 1
    And 1.1 s pass
    Then "e0" may not be tried
    When 1.1 s pass
    Then "e0" may be tried

  Scenario: An endpoint that flaps is let in again as soon as at first
    When "e0" comes back and is ejected 3 times
    Then "e0" is away for 8 s

  Scenario: Flapping is held against an endpoint for ever
    When "e0" comes back and is ejected 3 times
    And "e0" comes back and then answers for 90 s
    And "e0" is ejected again
    Then "e0" is away for 1 s

  Scenario: An endpoint that starts again is held to what the one before it did
    When "e0" starts again and answers 1 request
    Then no endpoint is barred

  Scenario: Each host spends a request on an endpoint that failed another just now
    Given a host that hears 3 others, and 10 endpoints in 2 data centres
    And "e0" was ejected
    When the others report that "e0" failed 1 requests each
    And 1.1 s pass
    Then "e0" may not be tried
    When the others report nothing any more
    Then "e0" may be tried

  Scenario: Trials of an endpoint that fell silent cost requests their time
    Given a host that hears 0 others, and 10 endpoints in 2 data centres
    And "e0" was ejected for silence
    When 1.1 s pass
    Then "e0" may not be tried
    When 3.1 s pass
    Then "e0" may be tried
