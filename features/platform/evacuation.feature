Feature: Evacuated data centres, and regions
  A host that starts, that reads the store by way of another host only, or that reads
  nothing any more must send nothing to an evacuated data centre either, and nothing out
  of the regions in which a request may run.

  Scenario: An evacuation holds at all hosts, also while the store is away
    Given the platform with 1 endpoints, and the hosts "h1, h2"
    And the endpoint "far" of the data centre "b"
    And the host "h3" behind a link to the store
    When "h3" is cut off from the store
    And the data centre "b" is evacuated, as "h1, h2, h3" notice
    And the host "h4" starts
    Then requests to "h1, h2, h3, h4" run at "e1" only
    And the metrics of "h4" tell of 1 evacuated data centre
    When the store goes away
    Then requests to "h1, h2, h3, h4" run at "e1" only
    When the store is back
    And the evacuation of "b" is revoked, as "h1, h2, h3, h4" notice
    Then requests to "h1" run at "e1, far"

  Scenario: All data centres are evacuated, and what runs there ends
    Given the platform with 1 endpoints, and the hosts "h1"
    And the runners "r1"
    And the endpoints take 0.2 s for an event
    When "desk" opens a stream of 15 events at "h1"
    And the data centre "a" is evacuated, as "h1, r1" notice
    Then a request to "h1" is refused as it says "1 evacuated"
    And "mangogauge explain" says of "q2" that "1 evacuated"
    And the stream is whole
    When "desk" submits the job "j1" of 2 items to "h1"
    And "r1" notices that "j1" has no eligible endpoint
    And the evacuation of "a" is revoked, as "h1, r1" notice
    Then the 2 items of "j1" end at "h1", and ran at "e1"

  Scenario: Restricted requests and items stay in their regions
    Given the platform with the endpoint "e1" and the host "h1", a = north, b = south
    And the runners "r1"
    And the endpoint "far" of the data centre "b"
    When "desk" may use "north, south", and the route "night" only "south"
    And the route "note" may use only "elsewhere"
    Then requests to "h1" run at "e1, far"
    And a request for "/note/1" to "h1" is refused as it says "2 region"
    When "desk" submits the job "j1" of 6 items to "h1"
    Then the 6 items of "j1" end at "h1", and ran at "far"
    When "desk" may use "north", and the route "night" only "north"
    Then requests to "h1" run at "e1" only
