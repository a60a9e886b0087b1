Feature: Endpoints that say in their answers that they are leaving

  Their entries in the platform's store still say that they are ready, or the store
  is unreachable.

  Background:
    Given the platform with 2 endpoints, and the hosts "h1, h2"

  Scenario Outline: After <answer> that says so, the endpoint gets no more requests
    Given "e1" answers that it is leaving, by <answer>
    When "desk" asks "h1" for "/note/1" until "e1" has said so
    And the store is away for 1 s and back
    And "desk" asks "h1" 20 times for "/note/1"
    Then all were answered whole
    And these requests arrived at "e2"

    Examples:
      | answer    |
      | a success |
      | a refusal |
      | a failure |

  Scenario: Other hosts hear of it, also while the store is away
    Given "e1" answers that it is leaving, by a success
    And the store is away
    When "desk" asks "h1" for "/note/1" until "e1" has said so
    And 1 s pass for the hosts
    And "desk" asks "h2" 20 times for "/note/1"
    Then all were answered whole
    And these requests arrived at "e2"

  Scenario: A request that runs at a leaving endpoint is completed
    Given "e1" answers that it is leaving, by a success
    And "e2" is killed beforehand
    When "desk" asks "h1" for "/ask/1" with 60 events
    Then the answer is "e1"'s own, with 60 events

  Scenario: A new process with the same name gets requests
    Given "e1" answers that it is leaving, by a success
    When "desk" asks "h1" for "/note/1" until "e1" has said so
    And "e1" starts again under its name
    And "e2" is killed
    And "desk" asks "h1" 10 times for "/note/1"
    Then all were answered whole

  Scenario: Batch items are sent to another endpoint
    Given the runners "r1"
    And "e1" answers that it is leaving, by a success
    When "desk" asks "h1" for "/note/1" until "e1" has said so
    And 1 s pass for the hosts
    And "desk" submits a job of 6 items of 5 events to "h1", which ends
    Then all its items arrived at "e2"
