Feature: A late second copy of an answer is nobody's answer

  Scenario: A refusal that comes twice doesn't let a request run twice
    Given the platform with 0 endpoints, and the hosts "h1"
    And 2 endpoints that refuse each request once, and say so twice
    When "desk" asks "h1" 2 times for "/ask/1"
    Then all were answered whole
    And no request ran twice
