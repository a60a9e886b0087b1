Feature: Callers that break the rules of HTTP get a clear answer or a closed connection
  The daemon goes on serving others, whatever one connection does.

  Background:
    Given a host whose callers have a second for a head and for a pause

  Scenario: What is not HTTP/1.1 is refused, and the host keeps serving
    When callers send what is not well formed
      | case                        | bytes                                                                            | answer |
      | no request line             | hello\r\n\r\n                                                                    | 400    |
      | only line ends and a colon  | \r\n\r\n:\r\n\r\n                                                                | 400    |
      | binary rubbish              | \x00\xff\x13\x37\r\n\r\n                                                         | 400    |
      | a TLS hello on a plain port | \x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n                             | 400    |
      | the preface of HTTP/2       | PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n                                                 | 505    |
      | no Host field               | GET /v1/models HTTP/1.1\r\n\r\n                                                  | 400    |
      | two Host fields             | GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n                                     | 400    |
      | a space before the colon    | GET / HTTP/1.1\r\nHost : a\r\n\r\n                                               | 400    |
      | a field without a colon     | GET / HTTP/1.1\r\nHost: a\r\nrubbish\r\n\r\n                                     | 400    |
      | a NUL character             | GET / HTTP/1.1\r\nHost: a\r\nX-A: \x00\r\n\r\n                                   | 400    |
      | a space in the target       | GET /a b HTTP/1.1\r\nHost: a\r\n\r\n                                             | 400    |
      | a length that is no number  | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ten\r\n\r\n                        | 400    |
      | a negative length           | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n                         | 400    |
      | two lengths                 | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx    | 400    |
      | a length beside an encoding | POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 |
      | an unknown encoding         | POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n                    | 501    |
      | a chunk size that is no hex | POST /bookings/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer KEY\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n | 400 |
      | dots in the path            | GET /bookings/../v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer KEY\r\n\r\n | 400 |
      | encoded dots in the path    | GET /bookings/%2e%2E/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer KEY\r\n\r\n  | 400    |
    Then each was answered as the table says, in JSON with a code and a request id
    And the host still serves

  Scenario: What is too large is refused, and the host keeps serving
    When a caller sends a head of 40000 bytes
    Then it is answered 431 with the code "too_large"
    When a caller announces a body of 9000000 bytes
    Then it is answered 413 with the code "too_large"
    When a caller sends a chunked body of 9000000 bytes
    Then it is answered 413 with the code "too_large"
    And the host still serves

  Scenario: What is slow or cut short is refused or closed, and the host keeps serving
    When a caller sends half a head and waits
    Then it is answered 408 with the code "request_timeout"
    When a caller sends half a body and waits
    Then it is answered 408 with the code "request_timeout"
    When a caller sends half a head and ends
    Then the connection ends
    When a caller sends half a body and ends
    Then it is answered 400 with the code "malformed_request"
    When a caller connects and sends nothing
    Then the connection is closed without an answer
    And the host still serves

  Scenario: Requests sent together are answered in order on one connection
    When a caller sends 3 requests at once
    Then 3 answers come in order on that connection

  Scenario: A refusal keeps the connection
    When a caller sends a body with no key and then asks for the models
    Then the first answer is 401 and the second 200 on that connection

  Scenario: A caller that expects 100-continue is told to go on
    When a caller asks for leave to send its body
    Then it is told to go on and gets its answer

  Scenario: HTTP/1.0 gets an answer that ends with the connection
    When a caller of HTTP/1.0 streams a chat
    Then the answer is not chunked and ends with the connection

  Scenario: A caller that does not read holds up its own answer and nobody's memory
    When a caller asks for 100000000 bytes and does not read
    Then the service is held back, and the host's memory has not grown by 30000000 bytes
    When the caller reads on
    Then it gets all 100000000 bytes

  # Guards against bodies that keep to their bound one by one and take all memory together.
  Scenario: Many large bodies at once are refused beyond what a host holds in all
    When 24 callers send a body of 8,000,000 bytes each, all but the last byte
    Then some were answered 503 with "overloaded"
    And "a1" takes less than 200 MB
    And the host still serves
    When the callers end
    Then a caller's body of 8,000,000 bytes is read again
