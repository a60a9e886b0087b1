Feature: Hosts send endpoints no more than these announce that they take
  The hosts' own decisions, with a clock moved by events. Each host knows what it sends
  at once, and what others send a little later. The bound is that of the users' pages:
  1.5 times the limit over 4 s, and 5 requests, from 3 s after it was first named.

  Scenario Outline: <hosts> hosts keep to a limit of <rate>, with <times> times as many requests
    Given <hosts> hosts and <endpoints> endpoints, by the seed <seed>
    And <times> times as many requests as limits of <rate> allow
    When all endpoints name the limit <rate> for 12 s
    Then none got more than its limit allows
    And all together got at least <share> of what they take

    Examples:
      | hosts | endpoints | rate | times | seed | share |
      | 12    | 6         | 4    | 0.9   | 1    | 0.7   |
      | 12    | 6         | 4    | 4     | 2    | 0.9   |
      | 12    | 6         | 20   | 2     | 3    | 0.9   |
      | 12    | 6         | 1    | 4     | 4    | 0.9   |
      | 12    | 6         | 0.5  | 4     | 5    | 0.8   |
      | 12    | 6         | 0    | 4     | 6    | 0.5   |
      | 68    | 24        | 3    | 2     | 7    | 0.9   |
      | 68    | 24        | 0.5  | 4     | 8    | 0.8   |
      | 195   | 64        | 2    | 2     | 9    | 0.9   |

  Scenario Outline: Requests that come in bursts find what wasn't used before
    Given <hosts> hosts and <endpoints> endpoints, by the seed <seed>
    And 20 times as many requests as limits of <rate> allow, in bursts of <seconds> s
    When all endpoints name the limit <rate> for 16 s
    Then none got more than its limit allows

    Examples:
      | hosts | endpoints | rate | seconds | seed |
      | 12    | 6         | 4    | 2       | 1    |
      | 12    | 6         | 4    | 4       | 2    |
      | 12    | 6         | 1    | 4       | 3    |
      | 12    | 6         | 0    | 4       | 4    |
      | 68    | 24        | 2    | 4       | 5    |

  Scenario Outline: Load of <times> times a limit of <rate> sets in after a calm
    Given 12 hosts and 6 endpoints, by the seed <seed>
    And 0.5 times as many requests as limits of <rate> allow
    When all endpoints name the limit <rate> for 12 s
    And <times> times as many requests as limits of <rate> come for 5 s
    Then none got more than its limit allows

    Examples:
      | rate | times | seed |
      | 4    | 10    | 1    |
      | 8    | 20    | 5    |
      | 16   | 4     | 7    |

  Scenario Outline: <each> requests come at once to each host, at a limit of <rate>
    Given 12 hosts and 6 endpoints, by the seed <seed>
    And 0.5 times as many requests as limits of <rate> allow
    When all endpoints name the limit <rate> for 12 s
    And <each> requests come to each host within 5 ms
    And 4 times as many requests as limits of <rate> come for 5 s
    Then none got more than its limit allows

    Examples:
      | each | rate | seed |
      | 4    | 1    | 1    |
      | 8    | 0    | 1    |
      | 8    | 1    | 3    |
      | 8    | 4    | 2    |

  Scenario Outline: At 640 endpoints, what hosts tell each other stays small
    Given 195 hosts and 640 endpoints of 10 services, by the seed 3
    And 1.2 times as many requests as limits of 0.5 allow
    When <limited> endpoints name the limit 0.5 for 6 s
    Then none got more than its limit allows
    And each host sent at most <bytes> bytes a second of limits

    Examples:
      | limited | bytes |
      | 64      | 12000 |
      | 640     | 18000 |

  Scenario: Limits fall to a tenth, rise, and end
    Given 12 hosts and 6 endpoints, by the seed 1
    And 3 times as many requests as limits of 10 allow
    When all endpoints name the limit 10 for 6 s
    And all endpoints name the limit 1 for 8 s
    Then none got more than its limit allows
    When all endpoints name no limit for 3 s
    Then no host knows of a limit

  Scenario Outline: The end of a limit of <rate> is heard
    Given <hosts> hosts and 6 endpoints, by the seed 2
    And 3 times as many requests as limits of 2 allow
    When all endpoints name the limit <rate> for 8 s
    And all endpoints name no limit for <seconds> s
    Then no host knows of a limit

    Examples:
      | hosts | rate | seconds |
      | 12    | 2    | 3       |
      | 12    | 0    | 24      |
      | 68    | 2    | 5       |

  Scenario: An endpoint that comes back under its name has no limit
    Given 12 hosts and 2 endpoints, by the seed 3
    And 3 times as many requests as limits of 2 allow
    When all endpoints name the limit 2 for 6 s
    And all endpoints start again, without a limit, for 2 s
    Then no host knows of a limit

  Scenario: Hosts that start while a limit is in force keep to it
    Given 12 hosts and 6 endpoints, by the seed 4
    And 6 times as many requests as limits of 3 allow
    When all endpoints name the limit 3 for 4 s
    And 4 hosts start anew, one each 2 s
    Then none got more than its limit allows

  Scenario Outline: Hosts that don't hear each other divide the limit
    Given <hosts> hosts and 6 endpoints, by the seed 5
    And 6 times as many requests as limits of 3 allow
    When all endpoints name the limit 3 for 4 s
    And half of the hosts are cut off from the others for 8 s
    Then none got more than its limit allows
    When they hear each other for 6 s
    Then none got more than its limit allows

    Examples:
      | hosts |
      | 12    |
      | 68    |

  Scenario: Items leave what requests wait for
    Given 12 hosts and 6 endpoints, by the seed 6
    And 2 times as many requests as limits of 3 allow
    And each host has items
    When all endpoints name the limit 3 for 4 s
    And that goes on for 10 s
    Then none got more than its limit allows
    And at most a tenth of what they got were items

  Scenario: Items use what no request needs
    Given 12 hosts and 6 endpoints, by the seed 7
    And 0.1 times as many requests as limits of 3 allow
    And each host has items
    When all endpoints name the limit 3 for 10 s
    Then none got more than its limit allows
    And all together got at least 0.8 of what they take
