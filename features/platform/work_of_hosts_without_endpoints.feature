Feature: Work of a host that lost its way to endpoints is done once, and truthfully told

  Requests go by way of another host meanwhile; what holds on the direct way holds there too.

  Scenario Outline: Streams that may be resumed break when their host loses its way
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    When 3 callers of "h1" read streams of "/note/1" with 200 events
    And "h1" is cut off from all endpoints, <how>
    Then these streams end whole

    Examples:
      | how    |
      | silent |
      | reset  |

  Scenario: Streams break on connections that live on
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    When 3 callers of "h1" read streams of "/ask/1" with 200 events
    And "h1" is cut off from all endpoints, refused
    Then these streams end whole

  Scenario Outline: Around a cut a request runs twice, or is refused though it ran
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    And callers ask all hosts again and again
    When "h1" is cut off from all endpoints, <how>
    And the cut has lasted 6 s
    And the cut of "h1" ends
    And callers are answered at all hosts again
    Then "h1" has served from 3 s to 6 s of the cut as "h2, h3" have
    And no unsafe request ran twice, and none that was refused ran

    Examples:
      | how             |
      | silent          |
      | refused         |
      | reset           |
      | reset when used |

  Scenario: A caller that leaves a host without endpoints isn't noticed at the endpoint
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    When "h1" is cut off from all endpoints, silent
    And the cut has lasted 3 s
    And a caller of "h1" for "/ask/1" leaves within the answer
    Then the endpoint's work is cut

  Scenario: Bytes change on the way by another host
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    When "h1" is cut off from all endpoints, silent
    And the cut has lasted 3 s
    And a caller of "h1" sends 2 MB of any bytes to "/ask/1"
    Then they came to an endpoint as they were, once, and its answer came back whole

  Scenario: A request that reached no endpoint is said to have run, perhaps
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2"
    When "h1, h2" are cut off from all endpoints, silent
    And the cut has lasted 3 s
    And callers of "h1" ask for "/ask/1" with 300, 500, 700 and 900 ms to wait
    Then all are refused as not run

  Scenario: Hosts that all lost their way serve late after it is back
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2"
    When "h1, h2" are cut off from all endpoints, silent
    And the cut has lasted 6 s
    And the cut of "h1" ends
    And the cut of "h2" ends
    And 1 s has passed
    Then first tries at "h1, h2" are served

  Scenario: Items of a runner without endpoints wait for its way
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2"
    And the runners "r1, r2"
    And the endpoints take 0.05 s for an event
    When "desk" submits the job "j1" of 30 items of 20 events to "h1"
    And the runner that has "j1" is cut off from all endpoints, silent
    Then all 30 results of "j1" can be read whole at "h1" and "h2"

  Scenario: A host loses its way while the store is away
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    And the store is away
    When "h1" is cut off from all endpoints, silent
    Then from 3 s after it began, first tries at "h1" are served as those at "h2, h3"

  Scenario: A host starts that reaches no endpoint
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    When "h1" is cut off from all endpoints, silent
    And "h1" is killed and starts again
    And the cut has lasted 3 s
    Then first tries at "h1, h2, h3" are served

  Scenario: An endpoint crashes while a host reaches none
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    When "h1" is cut off from all endpoints, silent
    And the cut has lasted 3 s
    And "e1" crashes
    And 1 s has passed
    Then first tries at "h1, h2, h3" are served

  Scenario: Streams of a host without endpoints break as it stops
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2"
    When "h1" is cut off from all endpoints, silent
    And the cut has lasted 3 s
    And 3 callers of "h1" read streams of "/ask/1" with 100 events
    And "h1" is told to stop
    Then these streams end whole

  Scenario: Streams of a host without endpoints break as the one that carries them stops
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2"
    When "h1" is cut off from all endpoints, silent
    And the cut has lasted 3 s
    And 3 callers of "h1" read streams of "/ask/1" with 100 events
    And "h2" is told to stop
    Then these streams end whole

  Scenario: The host that carries another's requests is killed
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    When "h1" is cut off from all endpoints, silent
    And the cut has lasted 3 s
    And 3 callers of "h1" read streams of "/note/1" with 200 events
    And "h2" is killed
    Then these streams end whole
    And first tries at "h1, h3" are served

  Scenario: An endpoint is silent for a second and goes on
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2"
    And callers ask all hosts again and again
    When "e1" is silent for 1 s
    Then "h1" goes on to send requests to each endpoint, and has ejected none
    And "h1" and "h2" have served all, each unsafe request once

  Scenario: A request runs twice as the host that carries it is killed
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    And callers ask all hosts again and again
    When "h1" is cut off from all endpoints, silent
    And the cut has lasted 3 s
    And "h2" is killed
    And the cut has lasted 6 s
    Then "h1" has served from 3 s to 6 s of the cut as "h3" have
    And no unsafe request ran twice, and none that was refused ran

  Scenario: A host that stands still is asked to carry requests
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    When "h1" is cut off from all endpoints, silent
    And the cut has lasted 3 s
    And "h2" stands still
    Then first tries at "h1, h3" are served

  Scenario: Items wait as all runners have lost their way
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2"
    And the runners "r1, r2"
    And the endpoints take 0.05 s for an event
    When "r1, r2" are cut off from all endpoints, refused
    And "desk" submits the job "j1" of 30 items of 20 events to "h1"
    Then all 30 results of "j1" can be read whole at "h1" and "h2"
