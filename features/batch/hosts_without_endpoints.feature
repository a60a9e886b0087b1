Feature: Batch work of hosts that have lost their way to the endpoints
  One host fills an endpoint with batch work. If it can't connect, its items are
  tried again and again there, while another host could run them.

  Background:
    Given a batch fleet whose hosts "a1, a2, a3" have links to two engines

  Scenario: A batch job waits for hosts that can't connect to the endpoints
    Given "a2, a3", which fill the engines, are cut off from all endpoints
    When a batch job of 20 chats, 0 bookings and 0 bad items is accepted by "a1"
    Then the batch job completes and passes the audit through "a1"

  Scenario Outline: Items run twice, or are lost, because their host is cut off meanwhile
    Given the batch service holds its answers back
    When a batch job of 60 chats, 16 bookings and 0 bad items is accepted by "a1"
    And the batch hosts "a2, a3" are cut off, <how>, while they run chats and bookings
    And the batch service answers again
    Then the batch job completes and passes the audit through "a1"
    And chats ran to their end twice only where the cut took their answers
    And bookings that ran without an answer, and only these, end as "<code>"

    Examples:
      | how    | code              |
      | reset  | outcome_unknown   |
      | silent | deadline_exceeded |

  Scenario: Work doesn't come back to the hosts whose cut has ended
    When a batch job of 400 chats with 150 tokens each is accepted by "a1"
    And the batch hosts "a2, a3" are cut off, reset, until "a1" has settled 20 items
    And the cut of the batch hosts "a2, a3" ends
    Then the batch hosts "a2, a3" claim chunks again
    And the batch job completes and passes the audit through "a1"

  Scenario Outline: Chunks go round while no host reaches the endpoints
    Given the batch hosts "a1, a2, a3" are cut off from all endpoints, <how>
    When a batch job of 40 chats, 0 bookings and 0 bad items is accepted by "a1"
    And 45 s of the batch job pass
    Then chunks of the batch job were claimed at most 8 times
    When the cut of the batch hosts "a1, a2, a3" ends
    Then the batch job completes and passes the audit through "a1"

    Examples:
      | how    |
      | reset  |
      | silent |

  Scenario: A chunk is released because its items failed once
    When a batch job of 60 chats with 150 tokens each is accepted by "a1"
    And the batch hosts "a2, a3" are cut off, reset, for 0.5 s while they run chats
    Then the batch job completes and passes the audit through "a1"
    And no batch chunk was released
