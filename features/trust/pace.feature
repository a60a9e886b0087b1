Feature: Slow endpoints get fewer requests in proportion to their slowdown

  Background:
    Given a host with reports of 3 peers, and 10 endpoints in 2 data centres

  Scenario: An endpoint that becomes slow costs more but isn't ejected
    When each endpoint answers 5 requests in 0.1 s
    And "e0" answers 6 requests in 0.5 s
    Then a request costs about 5 times as much at "e0"
    And no endpoint is barred

  Scenario: The cost of an endpoint that was slow decays
    Otherwise it would never get its share of the requests back.

    When each endpoint answers 5 requests in 0.1 s
    And "e0" answers 6 requests in 0.5 s
    And 20 s pass
    Then a request costs about 1 times as much at "e0"

  Scenario: No endpoint costs more if all are slow
    All are slow at a peak of traffic.

    When each endpoint answers 5 requests in 0.1 s
    And each endpoint answers 9 requests in 0.9 s
    Then a request costs about 1 times as much at "e0"

  Scenario: An endpoint whose events arrive slowly costs more
    Its answers begin in time, so only the time between events shows that it is slow.

    When each endpoint answers 5 streams with 0.01 s between events
    And "e0" answers 6 streams with 0.04 s between events
    Then a request costs about 4 times as much at "e0"
