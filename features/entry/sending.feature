Feature: A request that waits for a connection isn't at an endpoint yet
  Connections may take long, above all where a path has just been lost.

  Scenario: An endpoint gets no more time than is left when the request is sent
    Given a connection that is made after 0.4 s
    When a request with a deadline of 0.7 s is dispatched
    Then the endpoint was told that it has 0.3 s at most
