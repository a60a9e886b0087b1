Feature: Online requests that can't start in time are refused at once and fairly
  More requests arrive at the same time than there are slots. One client account sends
  most of them, others send few.

  Scenario: Requests that fit start at once, the others are queued or refused
    Given 2 endpoints with 8 slots and a request queue
    And recent requests have held a slot for 0.1 s
    When "big" sends 60 requests and "small" 4, each holding its slot for 0.1 s
    Then 18 requests started at once
    And every request of "small" got a slot
    And some of "big" were refused
    And each refusal is a 503 with "not run" and a time to retry after

  Scenario: A request of higher priority is served before those that wait
    Given 2 endpoints with 8 slots and a request queue
    And recent requests have held a slot for 0.1 s
    When "big" sends 30 requests and "first" 4 of higher priority, each holding its slot for 0.1 s
    Then every request of "first" got a slot

  Scenario: Requests that wait get slots that became free while the host stood still
    Given 2 endpoints with 8 slots and a request queue
    And recent requests have held a slot for 0.1 s
    And the host stands still for 0.18 s once requests wait
    When "big" sends 24 requests and "first" 4 of higher priority, each holding its slot for 0.1 s
    Then every request of "first" got a slot
    And every request of "big" got a slot

  Scenario: Requests that wait are refused if the host stood still beyond their objective
    Given 2 endpoints with 8 slots and a request queue
    And recent requests have held a slot for 0.1 s
    And the host stands still for 0.4 s once requests wait
    When "big" sends 24 requests and "first" 4 of higher priority, each holding its slot for 0.1 s
    Then 18 requests started at once
    And all others were refused
    And each refusal is a 503 with "not run" and a time to retry after

  Scenario: A caller that disconnects while its request waits occupies no slot
    Given 2 endpoints with 8 slots and a request queue
    When 24 requests are sent and the callers of those that wait disconnect
    Then all slots are free once the other requests have ended

  Scenario: Requests are refused at once if there is no endpoint
    Given 0 endpoints with 8 slots and a request queue
    When "big" sends 1 requests and "small" 1, each holding its slot for 0.1 s
    Then some of "big" were refused
    And each refusal is a 503 with "not run" and a time to retry after
