Feature: What a host believes of the others' reports
  A host that has lost its own path reports sound endpoints as down or ejected.
  Decisions on reports alone, with a manual clock.

  Background:
    Given reports: a host that hears of endpoint "e1" from "a1" and "a2"

  Scenario Outline: A sound endpoint is down because one cut-off host says so
    When reports: "<first>" and then "<second>" report "e1" as <reports>
    Then reports: "e1" counts as <state>

    Examples:
      | first | second | reports   | state |
      | a1    | a2     | down, up  | up    |
      | a2    | a1     | up, down  | up    |
      | a1    | a2     | down, down| down  |

  Scenario: An endpoint that has just answered is down because others say so
    Given reports: "e1" has answered this host 0.5 s ago
    When reports: "a1" and then "a2" report "e1" as down, down
    Then reports: "e1" counts as up
    And reports: this host doubts "e1"

  Scenario: An ejection for the host's own path is told to others as the endpoint's
    When reports: this host fails to connect to "e1" 3 times
    Then reports: "e1" is ejected here and hidden from others
    When reports: this host connects to "e1"
    Then reports: "e1" is no longer ejected

  Scenario: An ejection for the failures of the endpoint is told to others
    When reports: "e1" fails 3 times
    Then reports: "e1" is ejected here and told to others
