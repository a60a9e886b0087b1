Feature: An ejected endpoint returns after trials, with a slow start

  Background:
    Given a host with reports of 0 peers, and 10 endpoints in 2 data centres
    And "e0" was ejected

  Scenario: An endpoint that answers its trials returns
    When 1.1 s pass
    Then "e0" may be tried
    When "e0" answers 3 trials
    Then no endpoint is barred

  Scenario: An endpoint that returns gets its share gradually
    When 1.1 s pass
    And "e0" answers 3 trials
    Then a request costs 8 times as much at "e0"
    When 1.5 s pass
    Then a request costs 2 times as much at "e0"
    When 1.6 s pass
    Then a request costs 1 times as much at "e0"

  Scenario: Only one trial runs at a time
    Otherwise many requests would be spent on trials at the same time.

    When 1.1 s pass
    And a trial begins at "e0"
    Then "e0" may not be tried
    When the trial is abandoned, and 2.1 s pass
    Then "e0" may be tried

  Scenario: Requests that aren't repeatable are trials only after a delay
    They are lost if the trial fails, so items are trials first.

    When 1.1 s pass
    Then "e0" may not be tried by an unrepeatable request
    When 3.1 s pass
    Then "e0" may be tried by an unrepeatable request

  Scenario: An endpoint that fails its trial is ejected for longer
    When 1.1 s pass
    And "e0" fails 1 requests
    And 1.1 s pass
    Then "e0" may not be tried
    When 1.1 s pass
    Then "e0" may be tried

  Scenario: Each ejection of a flapping endpoint lasts longer
    When "e0" returns and is ejected again 3 times
    Then "e0" stays ejected for 8 s

  Scenario: Past ejections are forgotten after a time without another
    When "e0" returns and is ejected again 3 times
    And "e0" returns and then answers for 90 s
    And "e0" is ejected again
    Then "e0" stays ejected for 1 s

  Scenario: An endpoint that restarts begins without past evidence
    The failures are those of its previous process.

    When "e0" restarts and answers 1 request
    Then no endpoint is barred

  Scenario: No trial begins while peers report recent failures
    Otherwise each host would spend a request on an endpoint that has just failed one
    of another host.

    Given a host with reports of 3 peers, and 10 endpoints in 2 data centres
    And "e0" was ejected
    When the peers report that "e0" failed 1 requests each
    And 1.1 s pass
    Then "e0" may not be tried
    When the peers stop reporting failures
    Then "e0" may be tried

  Scenario: Requests are trials of a silent endpoint only after a delay
    A trial there costs a request the time that it waits for an answer.

    Given a host with reports of 0 peers, and 10 endpoints in 2 data centres
    And "e0" was ejected for silence
    When 1.1 s pass
    Then "e0" may not be tried
    When 3.1 s pass
    Then "e0" may be tried

  Scenario: An endpoint isn't held back for cuts of this host's own path
    Given a host with reports of 0 peers, and 4 endpoints in 2 data centres
    And "e0" was ejected for silence
    When it turns out that only this host's path to "e0" was lost
    Then no endpoint is barred
    And no cut is told to the peers

  Scenario: Peers aren't told of cuts that this host's own path may explain
    Given a host with reports of 0 peers, and 4 endpoints in 2 data centres
    And this host's path to "e0" is in doubt
    When each endpoint answers 4 requests
    And "e0, e1" are cut off from 2 requests each
    And "e0" answers 0 requests and fails 1
    Then cuts of "e1" are told to the peers
    And failures of "e0" are told to the peers
