Feature: Bytes without end from an endpoint cost neither requests nor memory

  An endpoint in trouble may send what is no answer until its caller closes. Each way
  in which an answer is read has a bound in bytes or in time, which the log names.

  Scenario Outline: Requests go on elsewhere when an endpoint sends <trouble> without end
    Given the platform with 1 endpoints, and the hosts "h1"
    And an endpoint "rogue" that sends <trouble> without end
    When "desk" asks "h1" for "/note/1" until its log says "<reason>", and 10 times more
    Then all were answered whole
    And "rogue" was cut off each time, after <bytes> bytes that were read
    And "h1" takes less than 90 MB

    Examples:
      | trouble            | bytes   | reason                  |
      | a status line      | 200000  | Receive buffer too long |
      | a header field     | 200000  | Receive buffer too long |
      | header fields      | 200000  | Receive buffer too long |
      | interim answers    | 200000  | interim_answers         |
      | answers to others  | 200000  | skipped_answers         |
      | another's body     | 1300000 | skipped_bytes           |
      | an unstamped body  | 200000  | garbled                 |
      | a failure's body   | 500000  | read_bytes              |
      | a chunk's header   | 200000  | attempt failed          |
      | an event           | 1300000 | An event is over the    |
      | an event, slowly   | 10000   | No event within         |

  Scenario: Batch items go on elsewhere too
    Given the platform with 1 endpoints, and the hosts "h1"
    And the runners "r1"
    And an endpoint "rogue" that sends an event without end
    When "desk" submits the job "j1" of 9 items to "h1"
    Then all 9 results of "j1" can be read whole at "h1" and "h1"
    And "rogue" was cut off each time, after 1300000 bytes that were read
    And "r1" takes less than 90 MB

  Scenario: A store that never ends its answer is left, and the host goes on
    Given the platform with 1 endpoints, and the hosts "h1"
    When the store's answers never end for 3 s
    And "desk" asks "h1" 10 times for "/note/1"
    Then all were answered whole
    And "h1" takes less than 90 MB

  # Guards against many answers that keep to their bounds one by one and take all memory
  # together.
  Scenario: Many endless events at once hold a bounded part of a host's memory
    Given the platform with 1 endpoints, and the hosts "h1"
    And an endpoint "rogue" of 400 slots that sends an event, in steps without end
    When "desk" asks "h1" for "/note/1" 300 times, 300 at once
    Then "h1" takes less than 160 MB
    When "desk" asks "h1" 10 times for "/ask/1", whoever answers
    Then some were answered whole
