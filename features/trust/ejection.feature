Feature: Endpoints that fail more often than the others are ejected

  Background:
    Given a host with reports of 3 peers, and 10 endpoints in 2 data centres

  Scenario: An endpoint that fails a part of its requests is ejected
    Otherwise it would keep getting its share of the requests.

    When each endpoint answers 4 requests
    And "e0" answers 2 requests and fails 3
    Then only "e0" is barred

  Scenario: Thousands of failures don't break the evaluation
    Binomial coefficients of such counts exceed a float, which would end it.

    When each endpoint answers 4 requests
    And "e0" answers 2000 requests and fails 3000
    Then only "e0" is barred

  Scenario: A single failure doesn't eject an endpoint
    Any endpoint may have one, and would lose its share of the requests.

    When each endpoint answers 20 requests
    And "e0" fails 1 requests
    Then no endpoint is barred

  Scenario: No endpoint is ejected if all fail
    Otherwise the service would lose all its endpoints.

    When each endpoint answers 2 requests
    And each endpoint fails 3 requests
    Then no endpoint is barred

  Scenario: Ejections are limited to a share of the service's endpoints
    Otherwise the endpoints that are left couldn't do the work.

    Given a host with reports of 3 peers, and 12 endpoints in 2 data centres
    When each endpoint answers 4 requests
    And "e0, e1, e2, e3, e4" fail 4 requests each
    Then 4 endpoints are barred

  Scenario: Ejections are limited to a share of a data centre's endpoints
    Otherwise a data centre could lose all its endpoints.

    Given a host with reports of 3 peers, and 12 endpoints in 4 data centres
    When each endpoint answers 4 requests
    And "e0, e4, e8" fail 4 requests each
    Then 2 endpoints are barred

  Scenario: Cuts that only one host observes don't eject an endpoint
    Otherwise a host with a bad link would eject the endpoints that it can't reach.

    When each endpoint answers 4 requests
    And "e0" is cut off from 4 requests
    Then no endpoint is barred

  Scenario: Cuts to a whole data centre are attributed to the link
    Otherwise the hosts of a data centre with a bad link would eject all endpoints of
    another one.

    When each endpoint answers 4 requests
    And the peers report that "e0, e2, e4, e6, e8" cut off 2 requests each
    And "e0, e2, e4, e6, e8" are cut off from 2 requests each
    Then no endpoint is barred

  Scenario: An endpoint that cuts off requests of several hosts is ejected
    When each endpoint answers 1 request
    And "e0" is cut off from 1 request
    And the peers report that "e0" cut off 2 requests each
    Then only "e0" is barred

  Scenario: Failures that only peers report eject an endpoint
    What one host observes alone may be too little evidence.

    When the peers report that "e0" failed 2 requests each
    Then only "e0" is barred

  Scenario: This host's own answers outweigh the peers' reports
    Otherwise it would eject an endpoint that answers it.

    When "e0" answers 9 requests and fails 0
    And the peers report that "e0" failed 2 requests each
    Then no endpoint is barred

  Scenario: An endpoint that never answers is ejected before the deadline
    Given a host with reports of 0 peers, and 10 endpoints in 2 data centres
    When each endpoint answers 4 requests
    And "e0" is silent to 3 requests for 1.5 s
    Then only "e0" is barred

  Scenario: An endpoint that refuses with free slots is ejected
    Refused requests end at once, so it looks like the least loaded endpoint.

    When each endpoint answers 4 requests
    And "e0" refuses 3 requests while it runs 2
    Then only "e0" is barred

  Scenario: An endpoint that refuses because it is full isn't ejected
    When each endpoint answers 4 requests
    And "e0" refuses 3 requests while it runs 9
    Then no endpoint is barred

  Scenario: An endpoint that may have become full a moment ago isn't ejected
    In a burst the reports are behind: an endpoint may refuse with 3 of its 8 slots
    free by the counts.

    When each endpoint answers 4 requests
    And "e0" refuses 3 requests while it runs 5
    Then no endpoint is barred

  Scenario: Rare cuts at dozens of hosts don't eject an endpoint that others use too
    A host among dozens sends an endpoint a request in ten seconds. Counted against
    this host's own answers alone, two cuts would be all that is known of it.

    Given a host with reports of 50 peers, and 56 endpoints in 4 data centres
    When each endpoint but "e0" answers 1 request
    And 2 of the peers report that "e0" cut off 1 request each
    Then no endpoint is barred

  Scenario: Cuts at many of dozens of hosts eject an endpoint
    Given a host with reports of 50 peers, and 56 endpoints in 4 data centres
    When each endpoint but "e0" answers 1 request
    And 15 of the peers report that "e0" cut off 1 request each
    Then only "e0" is barred

  Scenario: A wait for a slot isn't held against an endpoint
    In a burst requests wait at endpoints whose slots are all in use.

    Given a host with reports of 0 peers, and 10 endpoints in 2 data centres
    When each endpoint answers 4 requests
    And "e0" runs 8 requests and is silent to 3 for 0.8 s
    Then no endpoint is barred

  Scenario: An endpoint that stays silent while it is full is ejected
    Given a host with reports of 0 peers, and 10 endpoints in 2 data centres
    When each endpoint answers 4 requests
    And "e0" runs 8 requests and is silent to 3 for 1.5 s
    Then only "e0" is barred

  Scenario: An endpoint that is ejected for hours is ejected again
    The time grows with each ejection, and its power would exceed a float.

    Given an ejection
    When it is ejected 2000 times
    Then it is still barred
