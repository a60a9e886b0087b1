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

  Scenario: An item that crashes endpoints rests, the others are done
    Given the runners "r1, r2"
    And the endpoints answer "crash" to requests for "j1-2"
    When "desk" submits the job "j1" of 6 items to "h1"
    Then 5 results of "j1" can be read at "h1", and 5 s later 3 endpoints have crashed
