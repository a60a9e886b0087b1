Feature: A host wakes up once for several pieces of work

  Scenario Outline: Tasks that pause wake up together, and never early
    When tasks pause for <seconds> s, starting at many different times
    Then each pauses for at least that long, and for at most a quarter and 0.02 s more
    And they wake up at multiples of <step> s only

    Examples:
      | seconds | step |
      | 0.008   | 0.02 |
      | 0.1     | 0.02 |
      | 0.25    | 0.04 |
      | 0.83    | 0.16 |

  Scenario: Messages that share a datagram are decoded separately
    Given the reports of 40 hosts, and summaries of 7 data centres
    When they are packed into datagrams of at most 4000 bytes
    Then no datagram is larger
    And each message is decoded again, in order
    And there are fewer than half as many datagrams as messages

  Scenario: A message that exceeds the datagram limit gets its own datagram
    Given the reports of 2 hosts, and summaries of 2 data centres
    When they are packed into datagrams of at most 10 bytes
    Then each message is decoded again, in order

  Scenario: Pending datagrams are read in groups
    Given a datagram socket with 200 pending datagrams
    When pending datagrams are read until none is left
    Then all of them were read, in order, at most 128 at a time

  Scenario: A body that is read with a delay is complete, and takes fewer reads
    Given a server that writes 60 pieces of a body, 2 ms apart
    When one client reads it at once, and another with a delay of 0.1 s
    Then both have the whole body
    And the second has read from its socket at most half as often as there were pieces
