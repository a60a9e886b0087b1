Feature: Slow endpoints get less by their measured pace, not none

  Background:
    Given a host that hears 3 others, and 10 endpoints in 2 data centres

  Scenario: An endpoint that has turned slow goes on getting its share
    When each endpoint answers 5 requests in 0.1 s
    And "e0" answers 6 requests in 0.5 s
    Then a request costs about 5 times as much at "e0"
    And no endpoint is barred

  Scenario: An endpoint that was slow once never gets its share back
    When each endpoint answers 5 requests in 0.1 s
    And "e0" answers 6 requests in 0.5 s
    And 20 s pass
    Then a request costs about 1 times as much at "e0"

  Scenario: All are slow at a peak, and all cost more
    When each endpoint answers 5 requests in 0.1 s
    And each endpoint answers 9 requests in 0.9 s
    Then a request costs about 1 times as much at "e0"

  Scenario: Answers begin in time, but their events come slowly
    When each endpoint answers 5 streams with 0.01 s between events
    And "e0" answers 6 streams with 0.04 s between events
    Then a request costs about 4 times as much at "e0"
