Feature: A host that the store turns away goes by way of another

  Background:
    Given the platform with 2 endpoints, and the hosts "h1, h2"
    And the runners "r1"
    And the host "h3" behind a link to the store

  Scenario: A host that is cut off from the store takes jobs all the same
    When "h3" is cut off from the store
    And "desk" submits the job "j1" of 6 items to "h3"
    Then it is accepted
    And all 6 results of "j1" can be read whole at "h3" and "h1"
    And "h3" asked the store by way of another host

  Scenario: A configuration comes into force at a host that is cut off
    When "h3" is cut off from the store
    And the route "ask" is removed
    Then "h3" and "h1" refuse "/ask/1" by 404

  Scenario: A host that is cut off stays registered
    When "h3" is cut off from the store for 4 s
    Then "h3" was registered once, and "h1" has heard of no loss

  Scenario: Nobody passes calls on while the store is away for all
    Given the store is away
    When "desk" submits the job "j1" to "h3" once
    Then it is refused, and may be sent again soon
    When the store is back
    And "desk" submits the job "j2" of 6 items to "h3"
    Then it is accepted
