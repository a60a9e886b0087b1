Feature: With many hosts, reports become rarer instead of costlier

  Scenario Outline: A change after a pause is reported at once, however many hosts there are
    Given a host that reports to <hosts> others
    When it has sent no report for 1 s
    Then a change waits 8 ms

    Examples:
      | hosts |
      | 7     |
      | 48    |
      | 400   |

  Scenario Outline: Continuous changes cause no more reports than the limit
    Given a host that reports to <hosts> others
    When something changes every 5 ms for 20 s
    Then it has sent <least> to <most> reports

    Examples:
      | hosts | least | most |
      | 1     | 1500  | 2500 |
      | 7     | 1500  | 2500 |
      | 48    | 500   | 626  |
      | 400   | 78    | 82   |

  Scenario: Changes that share a report reach all hosts
    Given an exchange of reports with 50 other hosts
    When something changes every 5 ms for 1 s
    Then each host has received fewer reports than there were changes
    And the last change has reached all of them

  # Seen in CI: a host that had just started received no reports for 0.7 s.
  Scenario: A host whose registration isn't known yet gets reports after its own first report
    Given an exchange of reports with 2 other hosts
    When a host that is not registered reports to it
    Then that host has received a report
