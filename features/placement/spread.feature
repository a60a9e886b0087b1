Feature: Many hosts that choose at the same time don't take the same endpoint
  They choose by the same counts, which don't yet show each other's choices.

  Scenario Outline: Choices by the same counts are spread, the more the more there are
    Given <hosts> hosts that know that <running> online requests run at <endpoints> endpoints
    When <choosing> of them choose before any hears of it
    Then no endpoint is chosen by more than <most> of them

    Examples:
      | hosts | running | endpoints | choosing | most |
      | 58    | 180     | 29        | 20       | 5    |
      | 58    | 60      | 29        | 8        | 4    |
      | 410   | 1800    | 640       | 200      | 5    |

  Scenario: Few hosts that hear of each other at once take the least loaded
    Given 8 hosts that know that 12 online requests run at 6 endpoints
    When 8 of them choose before any hears of it
    Then each has chosen one of the least loaded
