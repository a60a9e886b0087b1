Feature: Batch items fill free slots, and are preempted at once
  Several hosts start items at the same endpoints, and learn of each other's starts
  a few milliseconds late.

  Scenario Outline: Items of several hosts never overfill an endpoint
    Given an endpoint with 8 slots, of which online requests take <online>
    And 4 hosts that each have 20 items waiting
    When all hosts start the items that they may at the same moment, 12 times
    Then the endpoint runs <items> items, and never had more than 8 requests

    Examples:
      | online | items |
      | 0      | 8     |
      | 3      | 5     |
      | 7      | 1     |
      | 8      | 0     |

  Scenario: A single host uses all free slots
    Given an endpoint with 8 slots, of which online requests take 2
    And 1 hosts that each have 20 items waiting
    When all hosts start the items that they may at the same moment, 12 times
    Then the endpoint runs 6 items, and never had more than 8 requests

  Scenario Outline: Exactly the excess is preempted, whichever hosts run it
    Given an endpoint with 8 slots, of which online requests take <online>
    And hosts that run <first>, <second> and <third> items at it
    When each host preempts its excess items
    Then <left> items keep running

    Examples:
      | online | first | second | third | left |
      | 1      | 3     | 2      | 2     | 7    |
      | 3      | 3     | 2      | 2     | 5    |
      | 6      | 3     | 2      | 2     | 2    |
      | 9      | 3     | 2      | 2     | 0    |
      | 12     | 1     | 0      | 0     | 0    |

  # 0.25 s: the objective of 0.3 s to the first event, less the 0.05 s that an
  # endpoint needs for it.
  Scenario: Items fill the troughs of changing online traffic without delaying it
    Given 5 endpoints with 8 slots, and 4 hosts with enough items
    When online requests arrive at 8 and 38 per second in turn, for 30 s
    Then 99 % of online requests got a slot within 0.25 s
    And items used at least 80 % of the slots that online requests left free

  Scenario: After a preemption no item starts for a while, and none is preempted
    A slot that is kept free by preemption costs a run for a request that may not come.

    Given an endpoint with 8 slots, of which online requests take 4
    And hosts that run 3, 2 and 1 items at it
    When each host preempts its excess items
    Then 4 items keep running
    When each host preempts its excess items
    Then 4 items keep running
    When online requests take 3 of its slots
    And all hosts start the items that they may at the same moment, 12 times
    Then the endpoint runs 4 items, and never had more than 8 requests
    When 0.6 s pass without a preemption
    And all hosts start the items that they may at the same moment, 12 times
    Then the endpoint runs 5 items, and never had more than 8 requests
