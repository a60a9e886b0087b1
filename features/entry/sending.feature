Feature: A request that waits for a connection isn't at an endpoint yet
  Connections may take long, above all where a path has just been lost.

  Scenario: An endpoint gets no more time than is left when the request is sent
    Given a connection that is made after 0.4 s
    When a request with a deadline of 0.7 s is dispatched
    Then the endpoint was told that it has 0.3 s at most

  Scenario Outline: The deadline passes: a request has not run if it was never sent
    Given connections that are made after <seconds> s, <which>
    When a request with a deadline of 0.5 s is dispatched, <semantics>
    Then it is refused, and executed is "<executed>"

    Examples:
      | seconds     | which                          | semantics  | executed |
      | 3600        | each silent once it is used    | once       | no       |
      | 0.1         | each silent once it is used    | once       | unknown  |
      | 0, 3600     | the first broken once it is used | repeatable | unknown  |
      | 0.1, 3600   | the first broken once it is used | once     | unknown  |

  Scenario: A silence before a request was sent takes none of its runs
    Given connections that are made after 3600, 3600, 0 s, each silent once it is used
    When a request with a deadline of 2.6 s is dispatched, repeatable
    Then it was sent to 1 endpoint, and executed is "unknown"

  Scenario Outline: A retry that finds no slot is no promise that the first attempt has not run
    Given the endpoints "<endpoints>", <room>
    And connections of which the first <trouble>
    When a request with a deadline of 1 s is dispatched, repeatable
    Then it is refused with status <status>, and executed is "<executed>"

    Examples:
      | endpoints | room         | trouble                | status | executed |
      | e1        | all free     | breaks once it is used | 502    | unknown  |
      | e1, e2    | "e2" is full | breaks once it is used | 502    | unknown  |
      | e1        | all free     | is refused             | 503    | no       |
      | e1, e2    | "e2" is full | is refused             | 503    | no       |

  Scenario: An endpoint that becomes ineligible while a connection is made gets nothing
    An evacuation comes into force at any time; whoever waits must ask again.

    Given endpoints that become ineligible while the connection to the first is made
    When a request with a deadline of 1 s is dispatched, repeatable
    Then it was sent to none of them, and executed is "no"

  Scenario: A retry after a broken connection trusts no other that was made before
    Given 2 kept connections that break once they are used, and no new ones
    When a request with a deadline of 2 s is dispatched, repeatable
    Then it was sent to 1 endpoint, and executed is "unknown"

  Scenario: A host that has no retries left makes no connection for one
    Given connections that are made after 0, 0, 0, 0, 0, 0 s, each silent once it is used
    And the account has no retries left on the route
    When a request with a deadline of 3 s is dispatched, repeatable
    Then 1 connection was made, and executed is "unknown"

  Scenario: A connection that breaks is logged as an attempt, not as the crash of a task
    Given connections that are made after 0, 0 s, the first broken once it is used
    When a request with a deadline of 0.5 s is dispatched, repeatable
    Then no task has ended by an error
