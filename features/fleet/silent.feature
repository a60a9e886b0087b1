Feature: Hosts that fall silent keep their part of each rate until they are known to have stopped

  Background:
    Given the registered hosts "a, b, c, d" as "a" and "b" know them

  Scenario: A host whose entry has lapsed keeps its part, and has it no more once it is back
    When the entry of "d" lapses
    Then "a" may use 3 of 4 parts of each rate
    When the entry of "d" is there again
    Then "a" may use 4 of 4 parts of each rate

  Scenario: A host that has said that it leaves keeps none
    When "d" says that it leaves
    And the entry of "d" lapses
    Then "a" may use 3 of 3 parts of each rate

  Scenario: That a host has left may be heard after its entry has lapsed
    When the entry of "d" lapses
    And "d" says that it leaves
    Then "a" may use 3 of 3 parts of each rate

  Scenario: A host that starts afterwards hears of a silent one from another
    When the entry of "d" lapses
    And "b" starts anew, and hears from "a"
    Then "b" may use 3 of 4 parts of each rate

  Scenario: A host of which nothing is known has no part after ten minutes
    When the entry of "d" lapses
    And 601 s pass for the silent hosts
    Then "a" may use 3 of 3 parts of each rate

  Scenario: News that can't be decoded are dropped
    Then these are refused as news of hosts:
      | datagram                       |
      | ["hosts 1"]                    |
      | ["hosts 2", [], []]            |
      | ["hosts 1", [["d", "1"]], []]  |
      | ["hosts 1", [], ["d"]]         |
      | ["hosts 1", [["d", "1", "x"]], []] |
