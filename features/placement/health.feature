Feature: Requests don't find out one by one that endpoints are unreachable

  Background:
    Given endpoints "near" here, and "far1, far2, far3" in another data centre

  Scenario: An endpoint that took no connection gets no request until it takes one
    When "near" takes no connection
    Then no request goes to "near" within 60 s
    When "near" takes a connection again
    Then requests go to "near"

  Scenario: Endpoints that may be behind the same cut come after those that answered
    When all endpoints answer
    And "far1" takes no connection
    And "near" answers
    And "near" is busier than all others
    Then the next request goes to "near"
    When "far2" answers
    Then the next request goes to "far2"

  Scenario: Once nothing is unreachable, nothing is in doubt
    When "far1" takes no connection
    And "far1" takes a connection again
    And "near" is busier than all others
    Then the next request doesn't go to "near"

  Scenario: If everything seems unreachable, something is tried
    When "near, far1, far2, far3" take no connection
    Then the next request goes to some endpoint
