Feature: A request that crashes the endpoints that run it is not run for ever
  Its caller sends it again, at any host, with the same path and body.

  Background:
    Given the platform with 6 endpoints, and the hosts "h1, h2"
    And the endpoints answer "crash" to requests for "bad"

  Scenario: It is refused at all hosts once three endpoints have crashed
    When "desk" sends "bad" for "/ask/1" 8 times, to "h1" and "h2" in turn
    Then 3 endpoints have crashed, and the last answer is 422
    When "desk" asks "h1" 10 times for "/ask/2"
    Then all were answered whole

  Scenario: An item under which three endpoints crashed is run again and done
    Given the runners "r1, r2"
    And the endpoints answer "crash" to requests for "j1-2"
    When "desk" submits the job "j1" of 6 items to "h1"
    And 3 endpoints or more have crashed
    And all endpoints are there again, and sound
    Then all 6 results of "j1" can be read whole at "h1" and "h2"

  Scenario: An item is done although the host that ran it was killed after crashes
    Given the runners "r1, r2"
    And the endpoints answer "crash" to requests for "j1-2"
    When "desk" submits the job "j1" of 6 items to "h1"
    And 3 endpoints or more have crashed
    And the runner that has "j1" is killed
    And all endpoints are there again, and sound
    Then all 6 results of "j1" can be read whole at "h1" and "h2"

  Scenario: An item that crashes each endpoint is run ever more rarely, the others are done
    Given the runners "r1"
    And the endpoints answer "crash" to requests for "j1-2"
    When "desk" submits the job "j1" of 6 items to "h1"
    And endpoints that crash come back as they were, for 8 s
    Then endpoints have crashed 12 times at most
    And 5 results of "j1" can be read at "h1"
