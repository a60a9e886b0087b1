Feature: Batch work of hosts that have lost their way to the endpoints
  One host fills an endpoint with batch work. If it can't connect, its items are
  tried again and again there, while another host could run them.

  Scenario: A batch job waits for hosts that can't connect to the endpoints
    Given a batch fleet whose hosts "a1, a2, a3" have links to two engines
    And "a2, a3", which fill the engines, are cut off from all endpoints
    When a batch job of 20 chats, 0 bookings and 0 bad items is accepted by "a1"
    Then the batch job completes and passes the audit through "a1"
