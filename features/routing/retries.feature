Feature: Retries and refusals
  How far a failed attempt is known to have got decides whether it is retried, and
  refusals state correctly whether the call was executed.

  Background:
    Given routing: engines "engine-1, engine-2" and services "desk-1, desk-2" behind a proxy
    And routing: a host "a1" with a caller

  Scenario: A booking whose answer is lost runs once and is refused as unknown
    Given routing: the links "desk-1, desk-2" lose all answers
    When routing: 6 bookings are posted
    Then routing: each booking was refused with "outcome_unknown" and executed "unknown"
    And routing: each booking ran exactly once

  Scenario: A booking that reached no service is refused as not run
    Given routing: the processes "desk-1, desk-2" are killed
    And routing: the services are reached without the proxy
    When routing: 3 bookings are posted
    Then routing: each booking was refused with "endpoint_failed" and executed "no"

  Scenario: A booking is sent to another service when one is down
    Given routing: the process "desk-1" is killed
    And routing: the services are reached without the proxy
    When routing: 6 bookings are posted
    Then routing: each booking was answered and ran once

  Scenario: A service's own refusal of a booking is passed on unchanged
    Given routing: the services answer with status 503
    When routing: 2 bookings are posted
    Then routing: each booking got the service's own status 503

  Scenario: Bookings during network faults never run twice
    Given routing: the links "desk-1, desk-2" follow faults from seed 5
    When routing: 60 bookings are posted
    Then routing: every booking's answer or refusal is correct

  Scenario: A search is retried at another service when its answer is lost
    Given routing: the link "desk-1" loses all answers
    When routing: 6 searches are made
    Then routing: each search was answered

  Scenario: One hung engine does not use up the deadline
    Given routing: the engine "engine-1" hangs
    When routing: 6 chats are requested with a deadline of 10 seconds
    Then routing: each chat got its own complete answer

  Scenario: Retries stay within their budget when every engine fails
    Given routing: the engines answer with status 500
    When routing: 40 chats are requested with a deadline of 10 seconds
    Then routing: there were at most 12 more attempts than chats
