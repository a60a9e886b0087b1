Feature: A host tells an endpoint's failure from that of its own path
  A host that has lost its path must neither give up sound endpoints nor tell others to.

  Background:
    Given a host that can ask the peers "p1, p2, p3" about the endpoint "e1"

  Scenario: A path that only this host has lost leads through peers
    Given "e1" refuses this host's connections, and "p2" reaches it
    When a connection to "e1" fails
    Then "e1" is tunnelled, and gets requests
    And others aren't told that "e1" is unhealthy

  Scenario: An endpoint that peers don't reach either is unhealthy
    Given "e1" refuses this host's connections, and peers refuse with 502
    When a connection to "e1" fails
    Then "e1" is lost, and gets no requests
    And others are told that "e1" is unhealthy

  Scenario: Peers that could not try say nothing of the endpoint
    Given "e1" refuses this host's connections, and peers refuse with 503
    When a connection to "e1" fails
    Then "e1" is suspected, and gets no requests
    And others aren't told that "e1" is unhealthy

  Scenario: A silence is held against nobody while peers could not try
    Given "e1" refuses this host's connections, and peers refuse with 503
    When a request to "e1" gets no answer
    And its path is checked in the background for 0.6 s
    Then "e1" is suspected, and gets no requests
    And others aren't told that "e1" is unhealthy

  Scenario: Nobody is told before a peer has been asked
    When a connection to "e1" has failed, and no peer has answered yet
    Then "e1" is suspected, and gets no requests
    And others aren't told that "e1" is unhealthy

  Scenario: Requests that fail at the same time ask peers once
    Given "e1" refuses this host's connections, and "p2" reaches it
    When 5 connections to "e1" fail at the same time
    Then each peer was asked once at most

  Scenario: A direct connection that fails after the path was found leaves it in use
    Given "e1" refuses this host's connections, and "p2" reaches it
    When a connection to "e1" fails
    And a direct connection that was begun before fails now, while peers refuse with 504
    Then "e1" is tunnelled, and gets requests
    And each peer was asked once at most

  Scenario: The direct path is used again as soon as it is back
    Given "e1" refuses this host's connections, and "p2" reaches it
    When a connection to "e1" fails
    And "e1" accepts this host's connections, and its path is checked
    Then "e1" is direct, and gets requests

  Scenario: An answer through a peer doesn't show that the direct path is back
    Given "e1" refuses this host's connections, and "p2" reaches it
    When a connection to "e1" fails
    And an answer of "e1" comes
    Then "e1" is tunnelled, and gets requests

  Scenario: A peer that is lost too leads to another check
    Given "e1" refuses this host's connections, and "p2" reaches it
    When a connection to "e1" fails
    And no peer reaches "e1" any longer, and a connection through one fails
    Then "e1" is suspected, and gets no requests

  Scenario Outline: A crash is noted only if the endpoint refuses peers too
    Given "e1" refuses this host's connections, and <peers>
    When it is asked whether "e1" refuses connections
    Then a crash would be noted: <answer>

    Examples:
      | peers                   | answer |
      | "p2" reaches it         | no     |
      | peers refuse with 502   | yes    |
      | peers refuse with 503   | no     |
      | peers refuse with 504   | yes    |
      | no peer answers         | yes    |

  Scenario Outline: A host without a path leaves the judgement of a crash to its peers
    Given "e1" refuses this host's connections, and "p2" reaches it
    When a connection to "e1" fails
    And after that <peers>
    And it is asked whether "e1" refuses connections
    Then a crash would be noted: <answer>

    Examples:
      | peers                 | answer |
      | peers refuse with 502 | yes    |
      | peers refuse with 503 | no     |
      | peers refuse with 504 | no     |

  Scenario: A silence is the endpoint's only once its path has been checked
    Given "e1" accepts this host's connections
    When a request to "e1" gets no answer
    Then others aren't told that "e1" is unhealthy
    When its path is checked in the background
    Then others are told that "e1" is unhealthy

  Scenario: A broken connection is told as evidence only once its path has been checked
    Given "e1" accepts this host's connections
    When a connection breaks that carries a request to "e1"
    Then others get no evidence against "e1"
    When its path is checked in the background
    Then others get the evidence that "e1" was cut off once

  Scenario: A connection that breaks with the path is no evidence for others
    Given "e1" refuses this host's connections, and "p2" reaches it
    When a connection breaks that carries a request to "e1"
    Then others get no evidence against "e1"
    When its path is checked in the background
    Then others get no evidence against "e1"

  Scenario: A silence of the path is held against nobody
    Given "e1" refuses this host's connections, and "p2" reaches it
    When a request to "e1" gets no answer
    And its path is checked in the background
    Then "e1" is tunnelled, and gets requests
    And others aren't told that "e1" is unhealthy

  Scenario: What breaks off after the path was lost is held against nobody
    Given "e1" refuses this host's connections, and "p2" reaches it
    When a connection to "e1" fails
    And a request to "e1" gets no answer
    And its path is checked in the background
    Then "e1" is tunnelled, and gets requests
    And others aren't told that "e1" is unhealthy

  Scenario: A wrong answer counts whatever the path
    Given "e1" refuses this host's connections, and "p2" reaches it
    When a connection to "e1" fails
    And a request to "e1" gets a wrong answer
    And its path is checked in the background for 0.4 s
    Then others are told that "e1" is unhealthy

  Scenario: Peers are asked ever more rarely about an endpoint that is down
    Given "e1" refuses this host's connections, and peers refuse with 502
    When a connection to "e1" fails
    And its path is checked each 0.1 s for 30 s
    Then each peer was asked 11 times at most
    And "e1" is lost, and gets no requests

  Scenario: A path that peers report after a long time is used again
    Given "e1" refuses this host's connections, and peers refuse with 502
    When a connection to "e1" fails
    And its path is checked each 0.1 s for 30 s
    And "p2" reaches it from then on
    And its path is checked each 0.1 s for 5 s
    Then "e1" is tunnelled, and gets requests

  Scenario: An answer that comes while peers are asked shows that an endpoint isn't lost
    Given "e1" refuses this host's connections, and peers refuse with 502
    When a connection to "e1" fails, and an open one brings an answer meanwhile
    Then "e1" is direct, and gets requests
    And others aren't told that "e1" is unhealthy

  Scenario Outline: Peers that are cut off too don't make a sound endpoint lost
    Given a host that can ask the peers "p1, p2, p3, p4, p5, p6" about the endpoint "e1"
    And "e1" refuses this host's connections, and peers refuse with <status>
    And the peer "p5" reaches it all the same
    When a connection to "e1" fails, and the check of its path ends
    Then "e1" is tunnelled, and gets requests
    And others were never told that "e1" is unhealthy
    And each peer was asked once at most

    Examples:
      | status |
      | 502    |
      | 504    |

  Scenario: A crash isn't noted because three peers are cut off too
    Given a host that can ask the peers "p1, p2, p3, p4, p5, p6" about the endpoint "e1"
    And "e1" refuses this host's connections, and peers refuse with 502
    And the peer "p5" reaches it all the same
    When it is asked whether "e1" refuses connections
    Then a crash would be noted: no

  Scenario: A request doesn't wait until more peers have confirmed a loss
    Given a host that can ask the peers "p1, p2, p3, p4, p5, p6" about the endpoint "e1"
    And "e1" refuses this host's connections, and peers refuse with 504
    When a connection to "e1" fails
    Then 3 peers had answered when its request went on

  Scenario: A loss that six peers confirm is told, and fewer are asked from then on
    Given a host that can ask the peers "p1, p2, p3, p4, p5, p6" about the endpoint "e1"
    And "e1" refuses this host's connections, and peers refuse with 502
    When a connection to "e1" fails, and the check of its path ends
    Then others are told that "e1" is unhealthy
    And "e1" is lost, and gets no requests
    When its path is checked each 0.1 s for 1 s
    Then 9 peers were asked in all
