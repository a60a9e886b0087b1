Feature: Choosing an endpoint
  Decisions of the router alone, with a manual clock.

  Background:
    Given choice: a router of data centre "a" with 4 endpoints there and 2 in "b"

  Scenario: Endpoints of other data centres are not chosen directly
    When choice: 200 calls are placed
    Then choice: only endpoints of "a" were chosen

  Scenario: Ejections always leave enough endpoints
    When choice: every endpoint fails 5 times
    And choice: 200 calls are placed
    Then choice: at least 2 endpoints were chosen

  Scenario: A failing endpoint gets no calls, and returns with a slow start
    When choice: the first endpoint fails 3 times
    And choice: 200 calls are placed
    Then choice: the first endpoint got no calls
    When choice: 3 seconds pass
    And choice: 200 calls are placed
    Then choice: the first endpoint got fewer than 50 calls but some

  Scenario: A leaving endpoint is not chosen even if endpoints that are down may be
    When choice: every endpoint reports that it is leaving
    Then choice: no endpoint is chosen

  Scenario: Ejections by two peers count, by one peer they don't
    When choice: 1 peers report that the first endpoint is ejected
    And choice: 200 calls are placed
    Then choice: the first endpoint got some calls
    When choice: 2 peers report that the first endpoint is ejected
    And choice: 200 calls are placed
    Then choice: the first endpoint got no calls
