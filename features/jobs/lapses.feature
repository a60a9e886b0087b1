Feature: A claim that may only have lapsed is waited for once

  Scenario: A claim that is missing after an outage is left to its host for a moment
    Given a host that knows the job "j1" as claimed
    When the store is lost and regained, and the claim is gone
    Then the claim may only have lapsed
    When 1.3 s pass without the claim
    Then nobody has the job

  Scenario Outline: A store that is lost again and again doesn't keep a job from being claimed
    Given a host that knows the job "j1" as claimed
    When the store is lost and regained, and the claim is gone
    And the store is lost and regained every <pause> s for 5 s, <read>
    Then nobody has the job

    Examples:
      | pause | read                   |
      | 1     | its changes being read |
      | 1     | all entries being read |

  Scenario: A claim that was made anew meanwhile may lapse anew
    Given a host that knows the job "j1" as claimed
    When the store is lost and regained, and the claim is gone
    And 0.5 s pass, and it is claimed again
    And 5 s pass without the claim
    And the store is lost and regained, and the claim is gone
    Then the claim may only have lapsed
