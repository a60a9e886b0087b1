Feature: The callers' front
  Keys, routes, deadlines, cancels, and what endpoints and callers get to see.

  Background:
    Given a front with engines, a service and routes for some

  Scenario: A caller that hangs up cancels the work at the engine
    When a caller hangs up within a stream
    Then the engine has cancelled that request
    When a caller hangs up before an answer in one piece
    Then the engine has cancelled that request

  Scenario: A deadline ends the work, and the refusal says that it may have run
    Given both engines hang
    When a caller asks for a chat within 300 ms
    Then it is refused 504 as "deadline_exceeded", executed "unknown"
    And the engine has cancelled that request
    When a caller gives the deadline "soon"
    Then it is refused 400 as "malformed_request", executed "no"

  Scenario: What endpoints get to see
    When a caller calls the service with many fields of its own
    Then the service saw the fields "x-reference, accept, x-request-id" of these
    And the service did not see the fields "authorization, connection, x-private, keep-alive, te, proxy-authorization, upgrade, expect, x-resume-from, x-copy"

  Scenario Outline: Request ids are the caller's if they are well formed
    When a caller gives the request id "<given>"
    Then the answer's request id is <which>

    Examples:
      | given                 | which    |
      | desk-7:visit.12_a     | the same |
      | spaces are not taken  | another  |
      | {"much":"too odd"}    | another  |

  Scenario: Routes say who may use them, and how
    Then calls by key and route are answered so
      | key      | method | target         | status | code              |
      | desk     | POST   | /bookings/1    | 200    |                   |
      | none     | POST   | /bookings/1    | 401    | key_missing       |
      | made up  | POST   | /bookings/1    | 401    | key_unknown       |
      | none     | GET    | /notices/today | 200    |                   |
      | made up  | GET    | /notices/today | 200    |                   |
      | none     | POST   | /notices/today | 405    | method_forbidden  |
      | desk     | GET    | /ledger/1      | 403    | route_forbidden   |
      | shops    | GET    | /ledger/1      | 200    |                   |
      | shops    | DELETE | /ledger/1?a=b  | 200    |                   |
      | shops    | GET    | /nowhere       | 404    | route_unknown     |
      | shops    | HEAD   | /ledger/1      | 200    |                   |
      | shops    | GET    | /v1/models/tiny| 404    | model_unknown     |
      | desk     | GET    | /v1/models     | 200    |                   |

  Scenario: Every refusal has the same shape
    When a caller's client account has used up its rate
    Then it is refused 429 as "rate_exceeded", executed "no"
    And the refusal says when to come again, in its body and its head

  Scenario: The first token's time is measured
    When a caller streams a chat of 3 tokens through host "a1"
    Then the metrics hold 1 first token of the route "chat" and the account "desk"

  Scenario: A drain cuts off no request, also on connections that were kept
    When a stream is under way and an idle connection is kept, and the host drains
    Then the stream is whole, the kept connection has ended, and the host ended with 0

  Scenario: Logs are lines of JSON that lead to a request, and never hold a key
    When a caller hangs up within a stream
    And a caller gives the request id "desk-logged"
    And a caller gives the deadline "soon"
    Then the host's log is JSON, names the request that was left, and holds no key
