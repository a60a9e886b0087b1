Feature: Choosing an endpoint
  Decisions of the router alone, on a clock moved by hand.

  Background:
    Given choice: a router of data centre "a" with 4 endpoints there and 2 in "b"

  Scenario: Endpoints of other data centres are not chosen directly
    When choice: 200 calls are placed
    Then choice: only endpoints of "a" were chosen

  Scenario: Ejections never leave too few
    When choice: every endpoint fails 5 times
    And choice: 200 calls are placed
    Then choice: at least 2 endpoints were chosen

  Scenario: A failing endpoint gets no work, and comes back slowly
    When choice: the first endpoint fails 3 times
    And choice: 200 calls are placed
    Then choice: the first endpoint got none
    When choice: 3 seconds pass
    And choice: 200 calls are placed
    Then choice: the first endpoint got fewer than 50 but some

  Scenario: A leaving endpoint is not chosen, however desperate
    When choice: every endpoint says that it is leaving
    Then choice: no endpoint is chosen

  Scenario: Two peers' ejections are believed, one's is not
    When choice: 1 peers say that the first endpoint is ejected
    And choice: 200 calls are placed
    Then choice: the first endpoint got some
    When choice: 2 peers say that the first endpoint is ejected
    And choice: 200 calls are placed
    Then choice: the first endpoint got none
