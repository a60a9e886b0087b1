Feature: Online requests on the platform, through real processes
  Hosts read routes, keys and endpoints from the platform's store and run
  requests at endpoints.

  Background:
    Given the platform with 2 endpoints, and the hosts "h1, h2"

  Scenario: A stream reaches its caller whole, and the endpoint sees what it may
    When "desk" asks "h1" for "/ask/1" with 12 events
    Then the answer is the endpoint's own, with 12 events
    And the endpoint saw the account "desk", no key, and less than 5000 ms left

  Scenario: What is not allowed is refused and never runs
    When these requests are sent to "h1"
      | path      | key       | answer |
      | /none/1   | desk-key  | 404    |
      | /ask/1    | wrong     | 401    |
      | /ask/1    |           | 401    |
      | /ask/../x | desk-key  | 400    |
    Then each was answered as the table says
    And nothing arrived at the endpoints

  Scenario: A forged account is replaced by the key's own
    When "desk" asks "h1" for "/ask/1" claiming to be "other"
    Then the endpoint saw the account "desk", no key, and less than 5000 ms left

  Scenario Outline: A request that may run once only is not sent again
    Given the endpoints answer "<fault>" to the next 1 requests
    When "desk" asks "h1" for "/ask/1" with 12 events
    Then the answer is <status>, and says that it may have run
    And 1 request arrived at the endpoints

    Examples:
      | fault | status |
      | lost  | 502    |
      | 500   | 500    |

  Scenario Outline: A stream that may be resumed goes on at another endpoint
    Given the endpoints answer "<fault>" to the next 1 requests
    When "desk" asks "h1" for "/note/1" with 12 events
    Then the answer is the endpoint's own, with 12 events

    Examples:
      | fault     |
      | lost      |
      | cut       |
      | mute      |
      | unstamped |
      | 500       |

  Scenario: A stream that can't be resumed ends without looking whole
    Given the endpoints answer "cut" to the next 1 requests
    When "desk" asks "h1" for "/ask/1" with 12 events
    Then the answer is a part that doesn't look whole

  Scenario: An answer that may be run again is not put together from two runs
    Given the endpoints answer "cut" to the next 1 requests
    When "desk" asks "h1" for "/safe/1" with 20 events
    Then the answer is a part that doesn't look whole

  Scenario: An answer to another request is not taken
    Given the endpoints answer "other" to the next 1 requests
    When "desk" asks "h1" for "/note/1" with 12 events
    Then the answer is the endpoint's own, with 12 events

  Scenario: A caller that leaves is not worked for any longer
    When "desk" asks "h1" for "/ask/1" with 400 events and leaves
    Then the endpoint's work is cut

  Scenario: A request that outlasts its route's time is ended
    Given the route "ask" allows 500 ms
    When "desk" asks "h1" for "/ask/1" with 400 events
    Then the answer is a part that doesn't look whole

  Scenario: An endpoint that leaves gets nothing more
    When "e1" says that it leaves, and 2 s pass
    And "desk" asks "h1" 10 times for "/ask/1"
    Then all requests arrived at "e2"

  Scenario: An address that another endpoint has now runs nothing of the first
    When "e1" is replaced at its address without a word
    And "desk" asks "h1" 10 times for "/ask/1"
    Then all were answered whole
    And all requests arrived at "e2"

  Scenario: An endpoint that has crashed costs no request
    When "e1" is killed
    And "desk" asks "h1" 10 times for "/ask/1"
    Then all were answered whole

  Scenario: Two hosts keep the rate of a client account together
    Given "desk" may send 4 requests a second and 4 at once
    When "desk" sends 60 requests to "h1" and "h2" in turn within a second
    Then no more were admitted than its rate, its burst and what is spare allow

  Scenario: A new configuration is in force on all hosts, and none goes back
    When the route "ask" is removed
    Then "h1" and "h2" refuse "/ask/1" by 404
    When the store is away for 1 s and back
    Then "h1" and "h2" refuse "/ask/1" by 404

  Scenario: A change that the watch doesn't hear comes into force all the same
    Given the store's watches hear nothing
    When the route "ask" is removed
    Then "h1" and "h2" refuse "/ask/1" by 404

  Scenario: A host that knows no configuration yet says so
    Given the store is away
    When a host "h3" starts
    Then "h3" is not ready, and refuses "/ask/1" by 503
    When the store is back
    Then "h3" becomes ready

  Scenario: Hosts go on while the store is away
    Given the store is away
    When "desk" asks "h1" 10 times for "/ask/1"
    Then all were answered whole

  Scenario: A host that is told to end finishes what it has
    When "desk" asks "h1" for "/ask/1" with 150 events, and "h1" is told to end
    Then the answer is the endpoint's own, with 150 events
    And "h1" said that it is not ready, and ended by itself

  Scenario: A host reads its settings again without ending, and keeps the good ones
    When "h1" gets SIGHUP, and then settings that are wrong
    Then "h1" logs "settings reloaded" and then "settings not reloaded"
    When "desk" asks "h1" 10 times for "/ask/1"
    Then all were answered whole
