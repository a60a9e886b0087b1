Feature: A host wakes up once for much of what it has to take in

  Scenario Outline: Tasks that pause wake up together, and never before their time
    When tasks pause for <seconds> s, from many moments on
    Then each pauses for that at least, and for a quarter and 0.02 s more at most
    And they wake up at multiples of <step> s only

    Examples:
      | seconds | step |
      | 0.008   | 0.02 |
      | 0.1     | 0.02 |
      | 0.25    | 0.04 |
      | 0.83    | 0.16 |

  Scenario: Messages that are passed on together are told apart again
    Given the reports of 40 hosts, and summaries of 7 data centres
    When they are put together into datagrams of 4000 bytes at most
    Then no datagram is larger
    And each message is found again, in order
    And there are fewer than half as many datagrams as messages

  Scenario: A message that is too large for any datagram is sent all the same
    Given the reports of 2 hosts, and summaries of 2 data centres
    When they are put together into datagrams of 10 bytes at most
    Then each message is found again, in order

  Scenario: Datagrams that have come meanwhile are read at a time
    Given a socket for datagrams, to which 200 were sent
    When what has come is read until nothing is left
    Then all of them were read, in order, at most 128 at a time

  Scenario: A body that is left to gather is read in fewer pieces, and whole
    Given a server that writes 60 pieces of a body, 2 ms apart
    When a client reads it, and another one that lets it gather for 0.1 s
    Then both have the whole body
    And the second has read from its socket at most half as often as there were pieces
