Feature: Requests leave their data centre where this gains more than the way costs
  Hosts that all see the same room elsewhere fill it at the same moment, and then their
  requests wait there; a fixed load sends requests away that would hardly wait.

  Scenario Outline: <case>
    Given <local> local endpoints with <here> requests each
    And <remote> endpoints with <there> requests each in 2 other data centres
    When the way costs <way> s and counts are <age> s old
    Then between <least> and <most> of the requests go to other data centres

    Examples:
      | case                                            | local | here | remote | there | way  | age  | least | most |
      | Nothing leaves while there are free slots       | 7     | 6    | 14     | 0     | 0.0  | 0.04 | 0     | 0    |
      | A data centre with double the callers           | 7     | 8    | 14     | 4     | 0.0  | 0.04 | 1     | 1    |
      | A wait that is shorter than the way             | 7     | 8    | 14     | 4     | 0.2  | 0.04 | 0     | 0    |
      | A way that costs as much as some requests wait  | 7     | 8    | 14     | 4     | 0.06 | 0.04 | 0.3   | 0.7  |
      | A data centre with too few endpoints            | 1     | 8    | 14     | 4     | 0.0  | 0.04 | 1     | 1    |
      | A data centre without endpoints                 | 0     | 0    | 14     | 4     | 0.5  | 0.04 | 1     | 1    |
      | No other data centre                            | 7     | 8    | 0      | 0     | 0.0  | 0.04 | 0     | 0    |
      | All are full                                    | 7     | 8    | 14     | 8     | 0.0  | 0.04 | 0     | 0    |
      | Little room elsewhere is left to each           | 7     | 8    | 4      | 5     | 0.0  | 0.2  | 0     | 0.25 |
      | Slots became free again                         | 7     | 5    | 14     | 4     | 0.0  | 0.04 | 0     | 0    |

  Scenario: Many hosts that see the same room don't all use it
    Given 7 local endpoints with 8 requests each
    And 8 endpoints with 4 requests each in 2 other data centres
    When the way costs 0 s and counts are 0.2 s old
    And as many hosts choose as are expected to before they are told
    Then at most 16 of them choose another data centre

  Scenario: Without a cost of the way local endpoints are preferred up to a fixed load
    Given 7 local endpoints with 5 requests each
    And 14 endpoints with 0 requests each in 2 other data centres
    Then a host without summaries chooses another data centre
    But one for which the way costs 0 s chooses its own
