Feature: A batch job is accepted once, and only if it is durably stored

  Background:
    Given a store with history, and two hosts that accept jobs

  Scenario: The same job submitted at two hosts is accepted once
    When the job "j1" of 3 items is submitted to the first host
    And the job "j1" of 3 items is submitted to the second host
    Then the store has 1 job with 3 items, and 300 tokens of "desk" wait

  Scenario Outline: The answer to the write is lost
    Given the next write is <fate>
    When the job "j1" of 3 items is submitted to the first host
    Then it was accepted
    And the store has 1 job with 3 items, and 300 tokens of "desk" wait

    Examples:
      | fate                          |
      | lost before it took effect    |
      | lost after it took effect     |
      | lost, and takes effect later  |

  Scenario: A write whose outcome stays unknown is reported as unknown, not as refused
    Given each of the next 200 writes is lost before it took effect
    When the job "j1" of 3 items is submitted to the first host
    Then it was refused with 502, and whether it was written is unknown

  Scenario: While the store is unavailable, a job is refused with a retry delay
    Given the store of jobs is unavailable
    When the job "j1" of 3 items is submitted to the first host
    Then it was refused with 503 and a retry delay

  Scenario: A client account has no more tokens waiting than its limit
    Given the route allows 700 waiting tokens
    When the job "j1" of 3 items is submitted to the first host
    And the job "j2" of 3 items is submitted to the second host
    And the job "j3" of 3 items is submitted to the first host
    Then it was refused with 429 and a retry delay
    When 2 items of "j1" get their results
    And the job "j3" of 3 items is submitted to the second host
    Then it was accepted

  Scenario: Two hosts can't both use the last tokens of a client account's limit
    Given the route allows 400 waiting tokens
    When a job of 3 items is submitted to each host at the same time
    Then one was accepted and one was refused with 429

  Scenario: A job's id belongs to the client account that used it first
    When the job "j1" of 3 items is submitted to the first host
    And the job "j1" of 3 items is submitted to the second host by "other"
    Then it was refused with 409
