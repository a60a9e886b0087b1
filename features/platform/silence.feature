Feature: The silence of an endpoint ends no answer that nobody else can go on with

  Scenario: A stream goes on at the endpoint that was silent, as no other has a slot
    Given the platform with 1 endpoints of 1 slot, and the hosts "h1"
    And the endpoints answer "pause" to the next 1 requests
    When "desk" asks "h1" for "/note/1" with 12 events
    Then the answer is the endpoint's own, with 12 events

  Scenario: A stream goes on at another endpoint that has a slot
    Given the platform with 2 endpoints of 1 slot, and the hosts "h1"
    And the endpoints answer "mute" to the next 1 requests
    When "desk" asks "h1" for "/note/1" with 12 events
    Then the answer is the endpoint's own, with 12 events
    And the endpoints have got it 2 times

  Scenario: A stream goes on at the endpoint that was silent, as the other can't be reached
    Given the platform with 1 endpoints, and the hosts "h1"
    And an endpoint "e9" of another data centre that refuses connections
    And the endpoints answer "pause" to the next 1 requests
    When "desk" asks "h1" for "/note/1" with 12 events
    Then the answer is the endpoint's own, with 12 events
