Feature: The calls of all hosts for their copies don't grow with the number of hosts
  Hosts in three data centres keep copies of the operators' entries, the endpoints and
  the hosts, as in a play without a network: news of a read takes up to 0.05 s, summaries
  some tenths of a second, and the store's copy is 0.3 s behind. Guards against hosts
  that read, or try again, before they can have heard of each other, and against hosts
  that rely on readers that don't read.

  Scenario Outline: Calm
    Given <hosts> hosts that have read all copies
    When they read and report for 6 s
    Then the newest state was read at most 32 times

    Examples:
      | hosts |
      | 12    |
      | 26    |
      | 88    |
      | 300   |

  Scenario Outline: All hosts start within 3 s
    Given <hosts> hosts that all start within 3 s
    When they read and report for 6 s
    Then for each host the newest state was read at most <each> times

    Examples:
      | hosts | each |
      | 26    | 5    |
      | 88    | 4.5  |

  Scenario Outline: A data centre is cut off for 6 s
    Given <hosts> hosts that have read all copies
    When data centre "b" is cut off for 6 s
    Then the newest state was read at most 36 times
    When the operators write, and the hosts read for 3 s
    Then all hosts have the change after <seconds> s
    And the newest state was read at most 80 times

    Examples:
      | hosts | seconds |
      | 12    | 2       |
      | 88    | 3       |

  Scenario Outline: The store refuses all calls for 3 s
    Given <hosts> hosts that have read all copies
    When the store refuses all calls for 3 s
    Then the newest state was read at most <reads> times
    When the operators write, and the hosts read for 3 s
    Then all hosts have the change after <seconds> s

    Examples:
      | hosts | reads | seconds |
      | 12    | 130   | 2       |
      | 26    | 180   | 3       |
      | 88    | 250   | 3       |

  Scenario Outline: Hosts on which the others rely don't read, and the operators write
    Given <hosts> hosts that have read all copies
    When for 2 s these <what>: <hosts that>
    And the operators write, and the hosts read for 3 s
    Then all hosts have the change after <seconds> s

    Examples: the next readers of the operators' entries, a part, or one
      | hosts | hosts that       | what                     | seconds |
      | 12    | the next reader  | are frozen               | 2       |
      | 12    | the next readers | are refused by the store | 2       |
      | 88    | the next readers | are frozen               | 3       |
      | 88    | one in five      | are refused by the store | 3       |
      | 88    | the next readers | get no news              | 3       |
      | 12    | the next readers | get no news              | 2       |
      | 300   | the next readers | are refused by the store | 3       |
