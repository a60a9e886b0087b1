Feature: Hosts that lose their way to endpoints go on serving their callers

  Some hosts reach no endpoint for seconds, while callers, the store and the other hosts still
  reach them. Such a host must not refuse what the others would serve.

  Scenario Outline: A host that reaches no endpoint refuses what others would serve
    Given the platform with 3 endpoints behind links, and the hosts "h1, h2, h3"
    And each host has a connection or two to endpoints
    When "h1" is cut off from all endpoints, <how>
    Then from 3 s after it began, first tries at "h1" are served as those at "h2, h3"

    Examples:
      | how     |
      | silent  |
      | refused |
      | reset   |
