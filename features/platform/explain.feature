Feature: The logs lead from a failed request's id to its cause

  Background:
    Given the platform with 2 endpoints, and the hosts "h1, h2"

  Scenario: A request that was refused
    When these requests are sent to "h1"
      | path    | key   | answer |
      | /ask/1  | wrong | 401    |
    Then "mangogauge explain" says of "q" that "h1 refused it (key_unknown)"

  Scenario: A stream that broke off
    Given the endpoints answer "cut" to the next 1 requests
    When "desk" asks "h1" for "/ask/1" with 12 events
    Then "mangogauge explain" says of "q1" that "h1 ended the answer before it was whole"
    And it names the attempt that failed

  Scenario: An item that can't be done
    Given the runners "r1"
    And the endpoints answer "422" to requests for "j1-2"
    When "desk" submits the job "j1" of 6 items to "h1"
    Then "j1" ends with "j1-2" given up and 5 items done
    And "mangogauge explain" says of "j1-2" that "the endpoint says that it can never be done"
