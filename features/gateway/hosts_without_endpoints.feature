Feature: Hosts that lose their own way to the endpoints
  A host that can't connect to endpoints which its peers reach takes the failure
  of its path for theirs: it refuses callers, and has others avoid the endpoints.

  Background:
    Given paths: engines "e1, e2", a service, and the hosts "a1, a2, a3" behind links

  Scenario Outline: A host without a way to the endpoints refuses what its peers could serve
    Given paths: "a1, a2, a3" have answered callers
    When paths: "a1" is cut off from all endpoints, <how>
    And paths: 16 chats and 8 streams are asked for at "a1"
    Then paths: each got its own whole answer
    When paths: 4 bookings are posted at "a1"
    Then paths: each booking was answered, and ran once
    When paths: the cut of "a1" ends
    Then paths: "a1" reaches endpoints by itself again

    Examples:
      | how     |
      | refused |
      | reset   |

  Scenario: A host whose connections fall silent refuses what its peers could serve
    When paths: "a1" is cut off from all endpoints, silent
    And paths: 4 bookings are posted at "a1"
    Then paths: each booking was answered, and ran once
    When paths: 4 chats and 2 streams are asked for at "a1"
    Then paths: each got its own whole answer

  Scenario: Sound endpoints are down at all hosts because two cut-off hosts say so
    When paths: "a1, a2" are cut off from all endpoints, reset
    Then paths: "a1, a2" see "e1" as down
    And paths: "a3" sees no endpoint as down for long

  Scenario: A host that loses its connections reports crashes of sound endpoints
    When paths: "a1" loses its connections while it runs 4 long chats
    Then paths: no host has noted a crash

  Scenario: A request waits on a silent connection until its deadline
    Given paths: "a1, a2, a3" have answered callers
    When paths: "a1" is cut off from all endpoints, silent
    And paths: a chat is asked for at "a1" with a deadline of 12 s
    Then paths: each got its own whole answer

  Scenario: A refusal says that a request may have run though it was never sent
    When paths: "a1" is cut off from all endpoints, silent
    And paths: a booking is posted at "a1" with a deadline of 1 s
    Then paths: it is refused with 504 as not executed, and didn't run

  Scenario: A request waits at an endpoint that a bound has shown to be out of reach
    When paths: "a1" is cut off from all endpoints, silent
    And paths: a chat is asked for at "a1" with a deadline of 3 s
    Then paths: each got its own whole answer
