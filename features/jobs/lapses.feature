Feature: A claim that may only have lapsed gets one grace period

  Scenario: A claim missing after an outage stays reserved for its host for a grace period
    Given a host that has read the job "j1" as claimed
    When the store is lost and regained, and the claim is gone
    Then the claim is in its grace period
    When 1.3 s pass without the claim
    Then the job is unclaimed

  Scenario Outline: A store that is lost repeatedly doesn't keep a job from being claimed
    Given a host that has read the job "j1" as claimed
    When the store is lost and regained, and the claim is gone
    And the store is lost and regained every <pause> s for 5 s, <read>
    Then the job is unclaimed

    Examples:
      | pause | read                   |
      | 1     | and its changes are read |
      | 1     | and all entries are read |

  Scenario: A claim that was made again meanwhile gets a new grace period
    Given a host that has read the job "j1" as claimed
    When the store is lost and regained, and the claim is gone
    And 0.5 s pass, and it is claimed again
    And 5 s pass without the claim
    And the store is lost and regained, and the claim is gone
    Then the claim is in its grace period
