Feature: Requests within their account's rate find budget
  Requests were refused with 429 that were within their account's rate, alongside the
  same account's requests beyond it: hosts that saw the same room all took it, and then
  refused until the bucket had leaked. Reports arrive after 0.1 to 0.4 s.

  Scenario Outline: An account that sends 6 times its rate through <hosts> hosts
    Given <hosts> hosts that share the rates of accounts, by the seed <seed>
    When one account sends 6 times its rate for 7 s, beside others
    Then no 5 s have more admissions than the limit
    And 0.99 to 1.05 of the account's tokens were used
    And no request of another account was refused
    And those that retried got most of its budget

    Examples:
      | hosts | seed |
      | 12    | 1    |
      | 12    | 2    |
      | 80    | 3    |

  Scenario Outline: An account within its rate is not refused
    Given <hosts> hosts that share the rates of accounts, by the seed <seed>
    When an account sends random bursts within its rate for <seconds> s
    Then at most 1 in 1000 of its requests were refused

    Examples:
      | hosts | seed | seconds |
      | 12    | 4    | 60      |
      | 80    | 5    | 15      |

  Scenario Outline: After a cut no debt is left of what was reserved for the other side
    Given <hosts> hosts that share the rates of accounts, by the seed 6
    And <sides> sides of them have been cut off from each other for 2 s
    When one account sends 6 times its rate for 7 s, beside others
    Then no 5 s have more admissions than the limit
    When they hear each other for 5 s, with 6 times the rate
    Then no 5 s have more admissions than the limit
    And at least 0.9 of the account's rate was used

    Examples:
      | hosts | sides |
      | 12    | 2     |
      | 12    | 3     |
      | 80    | 2     |

  # Guards against hosts that use the parts of those that are cut off (QUOTA).
  Scenario Outline: Hosts on <sides> sides whose entries have lapsed serve on
    Given <hosts> hosts that share the rates of accounts, by the seed <seed>
    And <sides> sides of them have been cut off from each other for 8 s
    When one account sends 8 times its rate for 7 s, beside others
    Then no 5 s have more admissions than the limit

    Examples:
      | hosts | sides | seed |
      | 4     | 2     | 8    |
      | 8     | 2     | 9    |
      | 8     | 4     | 10   |
      | 8     | 8     | 11   |
      | 80    | 2     | 12   |

  Scenario Outline: Hosts are cut off again and again, and start, beside floods
    Given <hosts> hosts that share the rates of accounts, by the seed <seed>
    When cuts, starts and floods come in an order by the seed <seed>, for 90 s
    Then no 5 s have more admissions than the limit

    Examples:
      | hosts | seed |
      | 4     | 21   |
      | 8     | 22   |
      | 8     | 23   |
      | 12    | 24   |
      | 12    | 25   |

  Scenario: Hosts start while an account sends 6 times its rate
    Given 80 hosts that share the rates of accounts, by the seed 7
    And 6 of them start anew, one each 1 s
    When one account sends 6 times its rate for 7 s, beside others
    Then no 5 s have more admissions than the limit

  Scenario: Requests wait in order for budget that is due in time, others are refused
    Given a host that may admit 20 requests a second, and has no budget left
    When 8 requests come that may wait for 0.22 s
    Then 4 of them wait, and the others have been refused
    And they were told times that are at least 0.025 s apart on average
    When the first one's caller leaves
    Then the 3 that wait are admitted in order, one each 0.051 s
