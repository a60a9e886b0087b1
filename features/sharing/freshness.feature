Feature: Hosts confirm each other's copies of the platform's store
  Operators' orders have to be in force everywhere within 2 s, and the number of
  store calls for this must not grow with the number of hosts.

  Scenario Outline: The number of reads does not grow with the number of hosts
    Given <hosts> hosts that keep a copy of the orders, each at most 0.7 s old
    When 20 s pass without a change
    Then all hosts together have read the orders at most 60 times

    Examples:
      | hosts |
      | 2     |
      | 12    |
      | 60    |

  Scenario Outline: A change reaches every host in time
    Given <hosts> hosts that keep a copy of the orders, each at most 0.7 s old
    When the orders change
    Then every host has the change within 1.4 s

    Examples:
      | hosts |
      | 2     |
      | 12    |
      | 60    |

  Scenario: A host that gets no reports reads on its own
    Given 12 hosts that keep a copy of the orders, each at most 0.7 s old
    When one host is cut off from the others, and the orders change
    Then every host has the change within 1.4 s

  Scenario Outline: Late reports between hosts don't keep an old copy fresh
    Given <hosts> hosts with a copy of the orders that report every <pause> s, received <transit> s later
    When they run for 6 s
    Then at most 1.4 s passed between two of their reads
    When the orders change, and 1.4 s pass
    Then all of them have the change

    Examples: calm, busy, and overloaded
      | hosts | pause | transit |
      | 12    | 0.25  | 0.002   |
      | 12    | 0.04  | 0.01    |
      | 12    | 0.04  | 0.1     |
      | 57    | 0.25  | 0.003   |
      | 57    | 0.04  | 0.003   |
      | 57    | 0.04  | 0.1     |

  Scenario: A copy's age follows the earliest estimate of its read's time
    Given a host whose copy was confirmed by another host's read, reported as 0.1 s ago
    When the same read is reported as 0.4 s ago
    Then the age of its copy is 0.4 s
    When the same read is reported as 0.2 s ago
    Then the age of its copy is 0.4 s

  Scenario: The time of a running host's read is kept, however many hosts start later
    Given the read times of a host that keeps reading
    When 4096 other hosts have started one after the other, and read once
    Then the time of its last read is unchanged

  Scenario: Hosts that lost the store don't confirm each other's copies
    Given 12 hosts with a copy of the orders that report every 0.04 s, received 0.01 s later
    When they run for 3 s
    And the store is unavailable for 2 s
    Then the age of each copy is at least 1.8 s

  Scenario: Reports that waited for a suspended host don't make its old copy young
    Given a host with a copy of the orders that it has read 3 s ago
    When reports of a read that is 0.1 s old wait 0.5 s for the host
    Then the copy is at least 0.5 s old for it
