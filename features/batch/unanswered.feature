Feature: A batch that the platform may have taken isn't refused as not executed
  A platform that is paused, or loses its answers, may act on what it was sent after
  the host has given up.

  Background:
    Given a batch fleet with hosts in two data centres

  Scenario: A submission that the platform takes without an answer is not refused by 503
    When a batch is submitted to "a1" while the platform loses the answers of all writes
    Then the batch is answered by 502 as "outcome_unknown", executed "unknown"
    And the batch is there once the platform answers

  Scenario Outline: A submission that the platform takes and answers by <status> is not refused by 503
    When a batch is submitted to "a1" while the platform answers all writes by <status> after it took them
    Then the batch is answered by 502 as "outcome_unknown", executed "unknown"
    And the batch is there once the platform answers

    Examples:
      | status |
      | 503    |
      | 504    |

  Scenario: A cancel that the platform takes without an answer is not refused by 503
    When a batch job of 200 chats, 0 bookings and 0 bad items is accepted by "a1"
    And the batch is cancelled at "b1" while the platform loses the answers of all writes
    Then the batch is answered by 502 as "outcome_unknown", executed "unknown"
    And the batch is cancelled once the platform answers
