Feature: A connection that a closing listener has taken gets an answer

  Scenario: A caller who connects while the last connections are taken isn't cut off
    Given a server with 8 callers that wait to be accepted
    When it drains, and one more caller connects while these are accepted
    Then each of the 8 is answered by 200
    And the last caller is refused by the system, or answered by 200
