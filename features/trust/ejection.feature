Feature: Endpoints that fail more often than their peers get nothing for a while

  Background:
    Given a host that hears 3 others, and 10 endpoints in 2 data centres

  Scenario: An endpoint that fails part of its requests goes on getting its share
    When each endpoint answers 4 requests
    And "e0" answers 2 requests and fails 3
    Then only "e0" is barred

  Scenario: An endpoint that fails thousands of requests ends the judgment
    When each endpoint answers 4 requests
    And "e0" answers 2000 requests and fails 3000
    Then only "e0" is barred

  Scenario: A failure that any endpoint may have costs one its share
    When each endpoint answers 20 requests
    And "e0" fails 1
    Then no endpoint is barred

  Scenario: Endpoints that all fail are all taken away
    When each endpoint answers 2 requests
    And each endpoint fails 3
    Then no endpoint is barred

  Scenario: So many fail that what is left can't do the work
    Given a host that hears 3 others, and 12 endpoints in 2 data centres
    When each endpoint answers 4 requests
    And "e0, e1, e2, e3, e4" fail 4 each
    Then 4 endpoints are barred

  Scenario: A data centre loses all its endpoints
    Given a host that hears 3 others, and 12 endpoints in 4 data centres
    When each endpoint answers 4 requests
    And "e0, e4, e8" fail 4 each
    Then 2 endpoints are barred

  Scenario: A host with a bad link ejects what it can't reach
    When each endpoint answers 4 requests
    And "e0" is cut off from 4 requests
    Then no endpoint is barred

  Scenario: Hosts of a data centre with a bad link eject all of another
    When each endpoint answers 4 requests
    And the others report that "e0, e2, e4, e6, e8" cut off 2 requests each
    And "e0, e2, e4, e6, e8" are cut off from 2 requests each
    Then no endpoint is barred

  Scenario: An endpoint that breaks off the requests of many hosts stays
    When each endpoint answers 1 request
    And "e0" is cut off from 1 request
    And the others report that "e0" cut off 2 requests each
    Then only "e0" is barred

  Scenario: What one host has seen alone is too little, and the others aren't heard
    When the others report that "e0" failed 2 requests each
    Then only "e0" is barred

  Scenario: An endpoint that answers this host is ejected for what others tell
    When "e0" answers 9 requests and fails 0
    And the others report that "e0" failed 2 requests each
    Then no endpoint is barred

  Scenario: An endpoint never answers, and nobody notices until the deadline
    Given a host that hears 0 others, and 10 endpoints in 2 data centres
    When each endpoint answers 4 requests
    And "e0" is silent to 3 requests for 1.5 s
    Then only "e0" is barred

  Scenario: An endpoint refuses though it has room, and looks the least loaded
    When each endpoint answers 4 requests
    And "e0" refuses 3 requests while it runs 2
    Then only "e0" is barred

  Scenario: An endpoint that is full is ejected for saying so
    When each endpoint answers 4 requests
    And "e0" refuses 3 requests while it runs 9
    Then no endpoint is barred
