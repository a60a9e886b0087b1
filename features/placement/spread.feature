Feature: Hosts that choose at the same time spread their choices
  They use the same counts, which don't yet include each other's choices.

  Scenario Outline: Concurrent choices by the same counts are spread over the endpoints
    Given <hosts> hosts that know that <running> online requests run at <endpoints> endpoints
    When <choosing> of them choose before any gets a report of it
    Then no endpoint is chosen by more than <most> of them

    Examples:
      | hosts | running | endpoints | choosing | most |
      | 58    | 180     | 29        | 20       | 5    |
      | 58    | 60      | 29        | 8        | 4    |
      | 410   | 1800    | 640       | 200      | 5    |

  Scenario: A few hosts choose the least loaded endpoints
    They get each other's reports at once, so few requests are unreported.

    Given 8 hosts that know that 12 online requests run at 6 endpoints
    When 8 of them choose before any gets a report of it
    Then each has chosen one of the least loaded
