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
