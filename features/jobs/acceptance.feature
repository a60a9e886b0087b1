Feature: A batch job is accepted once, and only if it lasts

  Background:
    Given a store with history, and two hosts that take jobs

  Scenario: The same job at two hosts is accepted once
    When the first host takes the job "j1" of 3 items
    And the second host takes the job "j1" of 3 items
    Then the store has 1 job with 3 items, and 300 tokens of "desk" wait

  Scenario Outline: The answer of the write is lost
    Given the next write is <fate>
    When the first host takes the job "j1" of 3 items
    Then it was accepted
    And the store has 1 job with 3 items, and 300 tokens of "desk" wait

    Examples:
      | fate                          |
      | lost before it took effect    |
      | lost after it took effect     |
      | lost, and takes effect later  |

  Scenario: A write whose outcome stays unknown is told to be unknown, not refused
    Given the next 200 writes are lost before it took effect
    When the first host takes the job "j1" of 3 items
    Then it was refused by 502, which promises nothing

  Scenario: A store that is away is told at once, with when to come back
    Given the store of jobs is away
    When the first host takes the job "j1" of 3 items
    Then it was refused by 503, with when to come back

  Scenario: A client account has no more tokens waiting than its limit
    Given the route lets 700 tokens wait
    When the first host takes the job "j1" of 3 items
    And the second host takes the job "j2" of 3 items
    And the first host takes the job "j3" of 3 items
    Then it was refused by 429, with when to come back
    When 2 items of "j1" get their results
    And the second host takes the job "j3" of 3 items
    Then it was accepted

  Scenario: Two hosts can't fill the same room twice
    Given the route lets 400 tokens wait
    When both hosts take a job of 3 items at the same time
    Then one was accepted and one was refused by 429

  Scenario: A job's id belongs to the client account that used it first
    When the first host takes the job "j1" of 3 items
    And the second host takes the job "j1" of 3 items from "other"
    Then it was refused by 409
