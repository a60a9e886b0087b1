Feature: An answer that breaks off while its request is sent never looks whole
  A reset is reported once, to whichever of sending and receiving asks first. Where the
  body has no length, the end of the connection that the other one then sees is the
  only sign of the body's end.

  Scenario Outline: A server answers an upload early, with <framing>, and resets it
    Given a server that answers an upload at once with <framing>, and resets it
    When a client sends it 8,000,000 bytes and reads the answer once sending has failed
    Then the client finds the answer broken off

    Examples:
      | framing                    |
      | no length                  |
      | no length, and no body yet |
      | a length that isn't met    |
      | chunks that don't end      |

  Scenario: A whole early answer of a known length survives the reset of its upload
    Given a server that answers an upload at once with a length that is met, and resets it
    When a client sends it 8,000,000 bytes and reads the answer once sending has failed
    Then the client has the whole answer

  Scenario: An answer without a length that ends in order is whole
    Given a server that answers an upload once it is read, with no length
    When a client sends it 8,000,000 bytes and reads the answer
    Then the client has the whole answer

  Scenario Outline: An answer of status <status> is no answer
    Given a server that answers with status <status>
    When a client sends it 2 bytes and reads the answer
    Then the client has no answer

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |
