Feature: Hosts that lose their way to endpoints go on serving their callers

  Some hosts reach no endpoint for seconds, while callers, the store and the other hosts still
  reach them. Such a host must not refuse what the others would serve.

  Scenario Outline: A host that reaches no endpoint refuses what others would serve
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    And each host has a connection or two to endpoints
    When "h1" is cut off from all endpoints, <how>
    Then from 3 s after it began, first tries at "h1" are served as those at "h2, h3"

    Examples:
      | how             |
      | silent          |
      | refused         |
      | reset           |
      | reset when used |

  Scenario: Most hosts reach no endpoint
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3, h4, h5"
    And each host has a connection or two to endpoints
    When "h1, h2, h3" are cut off from all endpoints, silent
    Then from 3 s after it began, first tries at "h1, h2, h3" are served as those at "h4, h5"

  Scenario: No host of a data centre reaches an endpoint
    Given the platform with 3 endpoints behind links, of which one data centre has the hosts "h1, h2", another "h3, h4"
    And each host has a connection or two to endpoints
    When "h1, h2" are cut off from all endpoints, refused
    Then from 3 s after it began, first tries at "h1, h2" are served as those at "h3, h4"

  Scenario: A host that lost some endpoints serves its callers at the others
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    And each host has a connection or two to endpoints
    When "h1" is cut off from "e1, e2", silent
    Then from 3 s after it began, first tries at "h1" are served as those at "h2, h3"

  Scenario: Endpoints that two hosts have lost are shunned by the others
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    And callers ask all hosts again and again
    When "h1, h2" are cut off from "e1", reset
    And the cut has lasted 3 s
    Then "h3" goes on to send requests to each endpoint, and has ejected none

  Scenario Outline: A sound endpoint or request is condemned by hosts that reach no endpoint
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    And callers ask all hosts again and again
    When "h1, h2" are cut off from all endpoints, <how>
    And the cut has lasted 5 s
    Then "h3" goes on to send requests to each endpoint, and has ejected none
    And "h3" has served all that came since
    And no request was refused by 422

    Examples:
      | how             |
      | silent          |
      | reset           |
      | reset when used |

  Scenario Outline: A host goes on by way of another when its own way is back
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    And each host has a connection or two to endpoints
    When "h1" is cut off from all endpoints, <how>
    Then from 3 s after it began, first tries at "h1" are served as those at "h2, h3"
    When the cut of "h1" ends
    Then "h1" uses each endpoint by itself again

    Examples:
      | how     |
      | silent  |
      | refused |
