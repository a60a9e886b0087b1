Feature: Endpoints that are stopped for a second run nothing twice
  A stopped process has a kernel that accepts connections and keeps what is sent. When
  it goes on it runs what it had begun, and what came meanwhile, unless it notices that
  the sender has closed.

  Scenario Outline: <count> of 3 endpoints stop for <seconds> s while <what> changes, ends noticed <notices>
    Given the platform with 3 endpoints that notice a closed connection <notices>, and the hosts "h1, h2"
    When requests come while <count> endpoints are stopped for <seconds> s and <what> changes
    Then no request that may run once ran twice
    And none that ran was answered as if it would not
    And no endpoint worked on what had gone on elsewhere

    Examples:
      | count | seconds | what                 | notices    |
      | 1     | 1.2     | nothing              | at a write |
      | 2     | 1.3     | the idle time        | at a write |
      | 3     | 1.2     | the routes' time-out | at a write |
      | 2     | 1.1     | the routes' service  | at once    |
      | 2     | 1.3     | the routes' time-out | never      |
      | 3     | 1.3     | the routes' service  | never      |
      | 2     | 2.2     | the idle time        | at a write |

  Scenario: An item that gives way at a stopped endpoint runs at another one meanwhile
    Given the platform with 4 endpoints that notice a closed connection at a write, and the hosts "h1, h2"
    And the runners "r1"
    When 4 jobs run, and bursts of requests come while 2 endpoints are stopped for 1.3 s
    Then no request that may run once ran twice
    And none that ran was answered as if it would not
    And no endpoint worked on what had gone on elsewhere
