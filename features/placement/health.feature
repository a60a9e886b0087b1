Feature: Unreachable endpoints get no requests
  Otherwise each request would find out for itself that an endpoint is unreachable.

  Background:
    Given a local endpoint "near", and endpoints "far1, far2, far3" of another data centre

  Scenario: An endpoint that accepts no connection gets no request until it accepts one
    When "near" accepts no connection
    Then no request goes to "near" within 60 s
    When "near" accepts a connection again
    Then requests go to "near"

  Scenario: Endpoints that answered are preferred to unverified ones
    The network fault of an unreachable endpoint may affect the unverified ones too.

    When all endpoints answer
    And "far1" accepts no connection
    And "near" answers
    And "near" is busier than all others
    Then the next request goes to "near"
    When "far2" answers
    Then the next request goes to "far2"

  Scenario: Once no endpoint is unreachable, none is unverified
    When "far1" accepts no connection
    And "far1" accepts a connection again
    And "near" is busier than all others
    Then the next request doesn't go to "near"

  Scenario: If all endpoints seem unreachable, one is tried
    When "near, far1, far2, far3" accept no connection
    Then the next request goes to some endpoint
