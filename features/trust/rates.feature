Feature: Hosts share how fast endpoints are
  One host of many sends an endpoint a request in ten seconds, too few to know its rate.
  Requests that queue at slower endpoints, whose slots become free less often, are late.

  Background:
    Given 12 hosts that share the rates of 9 endpoints, of which 3 take 1.5 times as long

  Scenario: All hosts agree on the slower endpoints, at whatever load each has seen them
    When 400 responses are observed, with intervals that grow with the load
    Then every host has costs of about 1.5 for the slower endpoints only

  Scenario: An endpoint that is slow for a moment keeps its estimate
    Otherwise it would get less for minutes after a stall of less than a second.

    When 400 responses are observed, with intervals that grow with the load
    And a host observes 4 responses of a fast endpoint that take 2.5 times as long
    Then every host has costs of about 1.5 for the slower endpoints only

  Scenario: An endpoint that starts again is measured again
    When 400 responses are observed, with intervals that grow with the load
    And the slower endpoints start again
    Then no host has costs

  Scenario: A slower endpoint gets no queue, and equal requests before
    When 400 responses are observed, with intervals that grow with the load
    Then a chooser lets 0 requests queue at a slower endpoint and 1 at a fast one

  Scenario Outline: Invalid rates of another host are dropped
    When a host receives <value>
    Then it can't be decoded

    Examples:
      | value                                     |
      | ["rates 1","h2",[["e1",1,-5,3]]]          |
      | ["rates 1","h2",[["e1",1,0,3]]]           |
      | ["rates 1","h2",[["e1",1,1e300,3]]]       |
      | ["rates 1","h2",[["e1",1,25000,-1]]]      |
      | ["rates 1","h2",[["e1",1,25000,1e9]]]     |
      | ["rates 1","h2",[["e1",1,25000]]]         |
      | ["rates 1","h2",[["e1",null,25000,3]]]    |
      | ["rates 1","h2",null]                     |
      | ["rates 2","h2",[]]                       |
