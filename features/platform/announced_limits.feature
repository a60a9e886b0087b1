Feature: Endpoints get no more requests than the limit that they announce
  An endpoint in need names in its answers how many requests a second it takes from all
  hosts together. Each host sends little, and all together may send too much.

  Background:
    Given the platform with 3 endpoints, and the hosts "h1, h2, h3, h4"

  Scenario: One endpoint is limited, and the others have room
    Given a caller at each host asks for "/note/1" every 0.1 s
    When "e1" names the limit "2" for 9 s
    Then no endpoint got more in 4 s than the limit of 2 allows
    And each got at least 0.6 of the 2 a second that it takes
    And all that was asked was answered whole

  Scenario: All endpoints are limited, and callers ask for more
    Given a caller at each host asks for "/note/1" every 0.1 s
    When each of "e1, e2, e3" names the limit "2.5" for 9 s
    Then no endpoint got more in 4 s than the limit of 2.5 allows
    And each got at least 0.6 of the 2.5 a second that it takes
    And what was not answered was refused at once, with a time to come back

  Scenario: A limit falls to a tenth
    Given a caller at each host asks for "/note/1" every 0.1 s
    When "e1" names the limit "12.5" for 3 s
    And "e1" names the limit "1.25" for 9 s
    Then no endpoint got more in 4 s than the limit of 1.25 allows
    And all that was asked was answered whole

  Scenario Outline: The end of a limit of <limit> is heard
    Given a caller at each host asks for "/note/1" every 0.1 s
    When "e1" names the limit "<limit>" for 5 s
    Then no endpoint got more in 4 s than the limit of <limit> allows
    When "e1" names no limit any more
    Then "e1" soon gets 30 more requests

    Examples:
      | limit |
      | 2     |
      | 0     |

  Scenario Outline: "<value>" is no limit
    Given a caller at each host asks for "/note/1" every 0.1 s
    When "e1" names the limit "<value>" for 5 s
    Then "e1" got more than the limit of 2 allows
    And all that was asked was answered whole

    Examples:
      | value |
      | few   |
      | -2    |
      | nan   |
      | inf   |

  Scenario: A new process under the same name has no limit
    Given a caller at each host asks for "/note/1" every 0.1 s
    When "e1" names the limit "1" for 3 s
    And "e1" starts again under its name, without a limit
    Then "e1" soon gets 30 more requests

  Scenario: A host that starts learns of the limit
    When each of "e1, e2, e3" names the limit "2"
    And the host "h5" starts beside them
    Given a caller at each host asks for "/note/1" every 0.1 s
    When callers go on for 8 s
    Then no endpoint got more in 4 s than the limit of 2 allows
    And what was not answered was refused at once, with a time to come back

  Scenario: Items of batch jobs keep to the limit too
    Given the runners "r1, r2"
    And the endpoints take 0.3 s for an event
    When each of "e1, e2, e3" names the limit "4"
    And "desk" submits the job "j1" of 140 items to "h1", which ends
    Then no endpoint got more in 4 s than the limit of 4 allows
    And each got at least 0.4 of the 4 a second that it takes
