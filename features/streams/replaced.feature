Feature: A stream goes on only at the software that began it, though endpoints are replaced
  A process may take the place of another at the same address, with other software. It
  registers before it is connected, so a later read shows it.

  Background:
    Given a host that has read which versions there were
    And endpoints of the versions "v1"

  # Guards against streams of two software versions in one answer (ORDER).
  Scenario: The endpoint was replaced after the copy was read
    Given its copy of the endpoints is 0.5 s old, and the store has the endpoint with "v2"
    When a stream begins at the endpoint on a new connection
    Then it may not go on, after 1 read of the endpoints' entries
    And no other host is told any more where it began

  Scenario: The endpoint is the same
    Given its copy of the endpoints is 0.5 s old, and the store has the endpoint with "v1"
    When a stream begins at the endpoint on a new connection
    Then it may go on at "v1", after 1 read of the endpoints' entries
    And other hosts are told that it began at "v1"

  Scenario: The connection was made before the copy was read
    Given its copy of the endpoints is 0.5 s old, and the store has the endpoint with "v1"
    When a stream begins at the endpoint on a connection of 0.6 s ago
    Then other hosts are told that it began at "v1"
    And it may go on at "v1", after 0 reads of the endpoints' entries

  Scenario: The copy is confirmed while the stream goes on
    Given its copy of the endpoints is 0.5 s old, and the store has the endpoint with "v1"
    When a stream begins at the endpoint on a new connection
    And 1 s pass, and its copy was confirmed 0.5 s ago
    And the stream's next events come
    Then other hosts are told that it began at "v1"
    And it may go on at "v1", after 0 reads of the endpoints' entries

  # Guards against a call to the store for each stream that breaks off with an endpoint.
  Scenario: Streams that break off together share a read
    Given its copy of the endpoints is 0.5 s old, and the store has the endpoint with "v1"
    When 20 streams begin at the endpoint on new connections and break off together
    Then all of them may go on, after 1 read of the endpoints' entries

  Scenario Outline: All reads of the store <trouble>
    Given its copy of the endpoints is 0.5 s old, and the store has the endpoint with "v1"
    And all reads of the store <trouble>
    When a stream begins at the endpoint on a new connection
    Then it may go on at "v1", after 1 read of the endpoints' entries
    And other hosts are told that it began at "v1"

    Examples:
      | trouble       |
      | fail          |
      | get no answer |

  # Guards against a host that stands still while a read of the store gets no answer.
  Scenario: A read that gets no answer delays no later stream
    Given its copy of the endpoints is 0.5 s old, and the store has the endpoint with "v1"
    And all reads of the store get no answer
    When 3 streams begin at the endpoint on new connections and break off together
    Then all of them may go on one after the other, after 1 read of the endpoints' entries

  Scenario Outline: A stream of "v1" would go on at an endpoint that the store has with <software>
    Given its copy of the endpoints is 0.5 s old, and the store has the endpoint with "<software>"
    Then a stream of "v1" <may> be resumed at the endpoint

    Examples:
      | software | may     |
      | v1       | may     |
      | v2       | may not |
