Feature: Which host fills an endpoint with batch work
  Views exchange on a clock moved by hand; no process is started.

  Background:
    Given three hosts of which "a3" fills the engine "e1"

  Scenario: A host that can't connect keeps the work that others could do
    When "a3" reports the engine as down, and "a1, a2" as up, for 4 s
    Then "a1" fills the engine, as all hosts see it
    And items for the engine are handed over at "a3" only

  Scenario: Work moves because an endpoint was out of reach for a moment
    When "a3" reports the engine as down, and "a1, a2" as up, for 1 s
    Then "a3" fills the engine, as all hosts see it
    And items for the engine are handed over at no host

  Scenario: Work moves to and fro while reports come and go
    When "a3" reports the engine as down for 3 s and as up for 3 s, 10 times
    Then each host saw the engine change hands once
    When "a3" reports the engine as up for 8 s
    Then "a3" fills the engine, as all hosts see it

  Scenario: Work moves though no host reaches the endpoint
    When all hosts report the engine as down for 10 s
    Then "a3" fills the engine, as all hosts see it
    And items for the engine are handed over at no host

  Scenario: Work is handed to a host that hasn't reached the endpoint
    When "a3" reports the engine as down, and "a1, a2" nothing, for 10 s
    Then items for the engine are handed over at no host

  Scenario: Work is handed to a host that stands still
    When "a3" reports the engine as down, and "a1, a2" as up, for 4 s
    And "a1" stands still for 8 s
    Then "a2" fills the engine, as "a2, a3" see it
    And items for the engine are handed over at "a3" only

  Scenario: A host that reaches neither the endpoint nor its peers keeps the work
    When "a3" is cut off from the engine and from its peers for 8 s
    Then no host fills the engine, as "a3" sees it
    And items for the engine are handed over at "a3" only
    And "a1" fills the engine, as "a1, a2" see it

  Scenario: The only host of a data centre gives its work away
    When "a3" alone is there and reports the engine as down for 8 s
    Then "a3" fills the engine, as "a3" sees it
    And items for the engine are handed over at no host

  Scenario: A host that begins to fill an endpoint takes all its slots at once
    Given an endpoint with 32 slots that another host fills
    When batch work may ramp up for 5 s
    Then batch work fills 2 places, of which no tick added more than 2
    When this host fills the endpoint from now on
    And batch work may ramp up for 5 s
    Then batch work fills 28 places, of which no tick added more than 2
