Feature: Reports become rarer, not costlier, where there are many hosts

  Scenario Outline: A change after a pause is told at once, however many hosts there are
    Given a host that reports to <hosts> others, 300 datagrams a second at most
    When it has sent no report for 1 s
    Then a change waits 8 ms

    Examples:
      | hosts |
      | 7     |
      | 48    |
      | 400   |

  Scenario Outline: Changes that come all the time cost no more than is allowed
    Given a host that reports to <hosts> others, 300 datagrams a second at most
    When something changes every 5 ms for 20 s
    Then it has sent <least> to <most> reports

    Examples:
      | hosts | least | most |
      | 1     | 1500  | 2500 |
      | 7     | 600   | 860  |
      | 48    | 110   | 126  |
      | 400   | 78    | 82   |

  Scenario: Hosts that run items hear more than those that serve callers
    Given an exchange of reports with 2 hosts that run items and 48 that serve callers
    When something changes every 5 ms for 1 s
    Then each host that runs items has heard more than 3 times what the others have
    And the last change has reached all of them
