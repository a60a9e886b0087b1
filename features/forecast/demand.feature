Feature: Demand of the next seconds is forecast
  Items that start just before demand rises are interrupted at once. A period that is
  seen where there is none, or not seen where there is one, starts them wrongly.

  Background:
    Given a forecast that is fed ten times a second

  Scenario Outline: Alternating demand is forecast by its period
    When demand alternates between 27 for 3 s and 131 for 2.2 s, from <offset> s on, for <seconds> s
    Then its period is 5.2 s, within 0.1 s
    And its error is at most 12 requests
    When demand alternates until 0.2 s after a fall
    Then the peak within 2 s is at most 40
    And the peak within 3.2 s is at least 110
    And demand is expected to stay below 80 for 2.7 s, within 0.3 s

    Examples:
      | offset | seconds |
      | 0      | 45      |
      | 4.1    | 45      |
      | 1.5    | 20      |

  Scenario Outline: Demand without a period is described by its level and a high quantile
    When demand is <kind> for 45 s
    Then it has no period
    And its level is <level>, within 5
    And the peak within 1 s is <peak>, within 12

    Examples:
      | kind       | level | peak |
      | noise      | 70    | 84   |
      | a ramp     | 75    | 90   |
      | a new step | 82    | 135  |

  Scenario: Missing samples don't hide the period, and are not taken for low demand
    When demand alternates between 27 for 3 s and 131 for 2.2 s, from 0 s on, for 30 s
    And no sample arrives for 4 s
    And demand alternates for 6 s
    Then its period is 5.2 s, within 0.1 s

  Scenario: After demand has changed its pattern the period is no longer used
    When demand alternates between 27 for 3 s and 131 for 2.2 s, from 0 s on, for 30 s
    And demand is noise for 10 s
    Then it has no period

  Scenario: A host that has no samples, or invalid ones, expects nothing
    When these samples are fed: nan, inf, -3, 1e300, text, none
    Then the peak within 3 s is 0, within 0
    And 6 samples were ignored
    When demand alternates between 27 for 3 s and 131 for 2.2 s, from 0 s on, for 5 s
    Then the peak within 1 s is 131, within 25
