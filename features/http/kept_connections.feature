Feature: A whole request on a kept connection gets an answer

  Scenario: A longer idle time holds on connections that began before it
    Given a kept connection whose caller may be idle for 0.3 s
    When the caller may be idle for 5 s, and sends a request after 1 s
    Then that request is answered by 200

  Scenario: A larger head is taken on connections that began before it was allowed
    Given a kept connection whose caller may send a head of 1000 bytes
    When the caller may send a head of 9000 bytes, and sends one of 5000 bytes
    Then that request is answered by 200

  Scenario: A request of which a part has come when its connection is to end is served
    Given a kept connection whose caller may be idle for 5 s
    When half of a request has come, the connection is to end, and the rest comes
    Then that request is answered by 200

  Scenario: A request that crosses the end of its connection is not begun and dropped
    Given a kept connection whose caller may be idle for 5 s
    When the connection is to end, and a request comes before its reader has noticed
    Then that request was not begun, and its connection ended without a byte
    And the server's log says "connection ended with bytes unread"

  Scenario Outline: A request whose handler ends by <error> is answered
    Given a kept connection whose caller may be idle for 5 s
    When the handler of a request ends by <error>
    Then that request is answered by 500

    Examples:
      | error                        |
      | a time-out                   |
      | an error of another's socket |
      | an answer that is no HTTP    |
