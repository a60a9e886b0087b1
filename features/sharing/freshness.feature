Feature: Hosts confirm each other's copies of the platform's store
  What operators order has to be in force within 2 s everywhere, and the calls
  that this takes must not grow with the number of hosts.

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

  Scenario: A host that hears nobody reads on its own
    Given 12 hosts that keep a copy of the orders, each at most 0.7 s old
    When one host is cut off from the others, and the orders change
    Then every host has the change within 1.4 s

  Scenario Outline: Hosts that hear of each other late don't keep an old copy fresh
    Given <hosts> hosts with a copy of the orders that report every <pause> s, heard <transit> s later
    When they live for 6 s
    Then no 1.4 s passed without a read of any of them
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

  Scenario: A copy is as old as the oldest word of its read makes it
    Given a host whose copy was confirmed by a read of another, 0.1 s ago as it heard
    When it hears that the same read was made 0.4 s ago
    Then it takes its copy to be 0.4 s old
    When it hears that the same read was made 0.2 s ago
    Then it takes its copy to be 0.4 s old

  Scenario: A read of a host that lives on isn't dated anew, however many have started since
    Given the dates of the reads of a host that reads all along
    When 4096 other hosts have started one after the other, and read once
    Then its last read isn't dated anew

  Scenario: Hosts that lost the store don't tell each other that they have it
    Given 12 hosts with a copy of the orders that report every 0.04 s, heard 0.01 s later
    When they live for 3 s
    And the store is away for 2 s
    Then each takes its copy to be 1.8 s old at least
