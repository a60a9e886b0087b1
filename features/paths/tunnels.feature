Feature: A peer carries a connection to an endpoint
  The answer must come through as if the endpoint itself had been connected to.

  Scenario: Answers come through unchanged, each on a connection of its own
    Given a peer that reaches the endpoint "e1"
    When 3 requests are sent to "e1" through the peer, one after the other
    Then each gets its own answer, byte for byte
    And "e1" took 3 connections, and the peer carries none any more

  Scenario: An answer that ends with the endpoint's connection is whole
    Given a peer that reaches the endpoint "e1"
    When a request is sent whose answer ends with the connection
    Then the answer is whole

  Scenario: The end of an answer doesn't wait for the peer to close its connection
    Given a peer that reaches the endpoint "e1"
    When an answer ends with the connection at a peer that keeps its own open
    Then the answer is whole

  Scenario: A tunnel whose far end has closed isn't used for another request
    Given a peer that reaches the endpoint "e1"
    When 3 requests are sent to "e1" through the peer, each answer closing the connection
    Then each is answered on a connection of its own

  Scenario Outline: A broken connection doesn't look like the end of an answer
    Given a peer that reaches the endpoint "e1"
    When a request is sent whose answer ends with the connection, and <what> within it
    Then the answer is broken off

    Examples:
      | what                            |
      | the endpoint's connection breaks |
      | the peer is lost                |

  Scenario: An endpoint sees that the caller has left
    Given a peer that reaches the endpoint "e1"
    When a request to "e1" is given up before its answer comes
    Then the connection to "e1" ends

  Scenario Outline: A peer says at once that it carries no connection
    Given a peer that reaches the endpoint "e1"
    And <obstacle>
    When a request is sent to "<endpoint>" through the peer
    Then it was not sent, and the peer's status is <status>
    And the peer is avoided for <extent>

    Examples:
      | obstacle                            | endpoint | status | extent |
      | the endpoint "e1" has ended         | e1       | 502    | "e1"   |
      | no endpoint is called "e9"          | e9       | 404    | "e9"   |
      | the peer has lost its path to "e1"  | e1       | 503    | all    |
      | nobody reaches "e1"                 | e1       | 504    | "e1"   |
      | the peer knows that "e1" is evacuated | e1     | 409    | "e1"   |
      | the peer is about to stop           | e1       | 503    | all    |

  Scenario: A burst of connections doesn't pass the bound on what a peer carries
    Given a peer that reaches the endpoint "e1" and carries 2 connections at most
    When 6 requests are sent to "e1" through the peer at the same time
    Then 2 connections were carried, and 4 refused with 503

  Scenario: A peer that stops waits for connections that carry something
    Given a peer that reaches the endpoint "e1"
    When the peer stops while it carries an answer of 1 s
    Then the answer is whole

  Scenario: A peer that stops waits for an answer that hasn't begun
    Given a peer that reaches the endpoint "e1"
    When the peer stops 1 s before an answer begins that it is to carry
    Then the answer is whole

  Scenario: A peer that stops doesn't wait once it has carried an answer
    Given a peer that reaches the endpoint "e1"
    When the peer stops after it carried an answer
    Then it stops, though the asking host lives on

  Scenario: A tunnel lives while it carries an answer, and not much longer
    Given a peer that reaches the endpoint "e1"
    When a request is sent whose answer lasts longer than a tunnel may be idle
    Then the answer is whole
    And the tunnel ends by itself
