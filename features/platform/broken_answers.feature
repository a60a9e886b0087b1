Feature: Answers that break off or come twice are not taken for something else
  Other operators' reports on issue 35.

  Scenario Outline: A copy of an earlier refusal <copy> is no answer to the next request
    Given the platform with 0 endpoints, and the hosts "h1"
    And an endpoint that refuses the first request of a connection, and again <copy>
    When "desk" asks "h1" for "/ask/1" as "first", and then as "second"
    Then the first is refused, the second is answered whole, and has run once

    Examples:
      | copy            |
      | with its id     |
      | without an id   |

  Scenario: A copy of an earlier refusal is no answer to a request of the same id
    Given the platform with 0 endpoints, and the hosts "h1"
    And an endpoint that refuses the first request of a connection, and again with its id
    When "desk" asks "h1" for "/ask/1" as "first", and then as "first"
    Then it was refused each time, and never ran

  Scenario Outline: An answer that ends <where> is not passed on as a whole one
    Given the platform with 0 endpoints, and the hosts "h1"
    And an endpoint whose answers end <where>
    When "desk" asks "h1" for "<path>" and reads what comes
    Then what came is no success that looks whole

    Examples:
      | path    | where                           |
      | /ask/1  | within the status line          |
      | /ask/1  | after the status line           |
      | /ask/1  | within a header field           |
      | /ask/1  | before the end of the head      |
      | /ask/1  | after the head, with no length  |
      | /ask/1  | within an event, with no length |
      | /ask/1  | within a chunk                  |
      | /note/1 | before the end of the head      |
      | /note/1 | after the head, with no length  |
      | /note/1 | within an event, with no length |
      | /safe/1 | within a header field           |
      | /safe/1 | before the end of the head      |

  Scenario: A caller of HTTP/1.0 can tell a stream that broke off from a whole one
    Given the platform with 1 endpoints, and the hosts "h1"
    When "desk" asks "h1" for "/ask/1" by HTTP/1.0
    Then it was answered whole
    Given the endpoints answer "cut" to the next 1 requests
    When "desk" asks "h1" for "/ask/1" by HTTP/1.0
    Then what came is no success that looks whole

  Scenario Outline: A stream that broke off, and whose next endpoint answers "<fault>", is not mixed
    Given the platform with 2 endpoints, and the hosts "h1"
    And the endpoints answer "cut" to the next 1 requests
    And the endpoints answer "<fault>" to the next 8 requests
    When "desk" asks "h1" for "/note/1" and reads what comes
    Then what came are the first events of one run, and doesn't look whole

    Examples:
      | fault     |
      | 500       |
      | 422       |
      | unstamped |
      | text      |
      | restart   |
