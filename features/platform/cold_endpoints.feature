Feature: Real hosts send a cold endpoint no more than it takes
  An endpoint that has just started, or says that it is cold, crashes at the rate that
  all hosts together send it otherwise. Each host reads of it at its own time.

  Scenario: An endpoint starts again and is cold for the time that its service names
    Given the platform with 3 endpoints that are cold for 4 s at 4 a second, and the hosts "h1, h2, h3, h4"
    And a caller at each host asks for "/note/1" every 0.02 s
    When "e1" starts again under its name and writes its entry
    Then each host logs that "e1" is cold, and shows it in its metrics
    And each host logs that "e1" is no longer cold, and shows it in its metrics
    And "e1" got 1 to 11 requests in any second from then on
    And "e1" soon gets 30 more requests

  Scenario: All endpoints say that they are cold
    Given the platform with 3 endpoints that are cold for 4 s at 4 a second, and the hosts "h1, h2, h3, h4"
    And a caller at each host asks for "/note/1" every 0.02 s
    When the entries of "e1, e2, e3" say that they are cold for 5 s
    Then each host logs that "e1, e2, e3" is cold, and shows it in its metrics
    And each host logs that "e1, e2, e3" is no longer cold, and shows it in its metrics
    And "e1, e2, e3" got 1 to 11 requests in any second from then on
    And what was not answered was refused with a time to come back, which "mangogauge explain" puts down to cold endpoints

  Scenario: Without the host's bounds nothing changes
    Given the platform with 3 endpoints that are cold for 4 s at 4 a second, and the hosts "h1, h2" without bounds
    And a caller at each host asks for "/note/1" every 0.02 s
    When the entries of "e1, e2, e3" say that they are cold for 5 s
    Then "e1" soon gets 60 more requests
    And no host logs that an endpoint is cold
