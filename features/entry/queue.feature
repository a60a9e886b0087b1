Feature: Online requests that can't start in time are refused at once, and fairly
  The load: more requests at the same moment than all slots, from one client
  account that sends most of them and others that send few.

  Scenario: What fits starts at once, the rest waits its turn or is refused
    Given 2 endpoints with 8 slots, and a queue before them
    And requests have held a slot for 0.1 s lately
    When "big" sends 60 requests and "small" 4, each holding its slot for 0.1 s
    Then 18 started at once
    And every request of "small" got a slot
    And some of "big" were refused
    And each refusal is a 503 that says not run and when to come back

  Scenario: A request of a higher rank goes before those that wait
    Given 2 endpoints with 8 slots, and a queue before them
    And requests have held a slot for 0.1 s lately
    When "big" sends 30 requests and "first" 4 of a higher rank, each holding its slot for 0.1 s
    Then every request of "first" got a slot

  Scenario: A caller that leaves while it waits holds nothing
    Given 2 endpoints with 8 slots, and a queue before them
    When 24 requests are sent and those that wait are left by their callers
    Then all slots are free again after the others have ended

  Scenario: Without any endpoint a request is refused at once
    Given 0 endpoints with 8 slots, and a queue before them
    When "big" sends 1 requests and "small" 1, each holding its slot for 0.1 s
    Then some of "big" were refused
    And each refusal is a 503 that says not run and when to come back
