Feature: A stream goes on only at the software version that began it
  What two versions write doesn't fit together, and endpoints don't check it.

  Scenario: A stream goes on within its answer at the version that began it
    Given the platform with 0 endpoints, and the hosts "h1"
    And 2 endpoints of the version "v1" and 4 of "v2"
    And the endpoints answer "cut" to the next 8 requests
    When "desk" asks "h1" 24 times for "/note/1", each as a stream of its own
    Then no stream holds events of two versions
    And at least 20 of them were answered whole

  Scenario Outline: Streams that callers take up <when> go on at the version that began them
    Given the platform with 0 endpoints, and the hosts "h1, h2"
    And 2 endpoints of the version "v1" and 2 of "v2"
    When 16 streams begin at "h1" and break off
    And <event>
    And they are taken up at "h2"
    Then no stream holds events of two versions
    And at least 12 of them were answered whole

    Examples:
      | when                         | event                           |
      | at another host              | nothing else happens            |
      | after a host has ended       | "h1" is killed                  |
      | at hosts that start anew     | "h1, h2" end and start anew     |
      | at a host that starts anew   | "h2" end and start anew         |

  Scenario: Streams that callers take up while the store is away go on at the version that began them
    Given the platform with 0 endpoints, and the hosts "h1, h2"
    And 2 endpoints of the version "v1" and 2 of "v2"
    And the store is away
    When 16 streams begin at "h1" and break off
    And they are taken up at "h2"
    Then no stream holds events of two versions
    And at least 12 of them were answered whole

  Scenario: Streams that callers take up at a host that is cut off from the store
    Given the platform with 0 endpoints, and the hosts "h1"
    And the host "h2" behind a link to the store
    And 2 endpoints of the version "v1" and 2 of "v2"
    When "h2" is cut off from the store
    And 16 streams begin at "h1" and break off
    And they are taken up at "h2"
    Then no stream holds events of two versions
    And at least 12 of them were answered whole

  Scenario: Streams that callers take up in another data centre
    Given the platform with 0 endpoints, and the hosts "h1"
    And the host "h2" in the data centre "b"
    And 2 endpoints of the version "v1" and 2 of "v2"
    When 16 streams begin at "h1" and break off
    And "h1" is killed
    And they are taken up at "h2"
    Then no stream holds events of two versions
    And at least 12 of them were answered whole

  Scenario: A newer version comes while a host is cut off from the store
    Given the platform with 0 endpoints, and the hosts "h1"
    And the host "h2" behind a link to the store
    And 2 endpoints of the version "v1" and 0 of "v2"
    When "h2" is cut off from the store
    And 2 endpoints of "v2" come
    And 16 streams begin at "h1" and break off
    And "h1" is killed
    And they are taken up at "h2"
    Then no stream holds events of two versions

  Scenario: A host that stood still doesn't resume streams at the only version that it knows
    Given the platform with 0 endpoints, and the hosts "h1"
    And the host "h2" in the data centre "b"
    And 2 endpoints of the version "v1" and 0 of "v2"
    When "h2" stands still
    And 2 endpoints of "v2" come
    And 16 streams begin at "h1" and break off
    And the store takes 0.15 s for an answer
    And they are taken up at "h2", which goes on meanwhile
    Then no stream holds events of two versions
    And at least 12 of them were answered whole

  Scenario: A host that is cut off doesn't resume streams at the only version that it knows
    Given the platform with 0 endpoints, and the hosts "h1"
    And the host "h2" behind a link to the store
    And 2 endpoints of the version "v1" and 0 of "v2"
    When "h2" is cut off from the store and all other hosts
    And a host "h3" starts
    And 2 endpoints of "v2" come, and "h3" hears of them
    And 16 streams begin at "h3" and break off
    And they are taken up at "h2"
    Then no stream holds events of two versions
    And each of them was answered whole or refused
    When "h2" reaches the store again
    And they are taken up at "h2"
    Then no stream holds events of two versions
    And at least 12 of them were answered whole

  Scenario: Streams of a version whose endpoints have left are refused, the others go on
    Given the platform with 0 endpoints, and the hosts "h1, h2"
    And 2 endpoints of the version "v1" and 2 of "v2"
    When 16 streams begin at "h1" and break off
    And the endpoints of "v1" leave
    And "h1, h2" end and start anew
    And they are taken up at "h2"
    Then no stream holds events of two versions
    And those that "v2" began were answered whole, the others refused

  Scenario: Streams that began before a newer version came don't go on at that
    Given the platform with 0 endpoints, and the hosts "h1, h2"
    And 2 endpoints of the version "v1" and 0 of "v2"
    When 8 streams begin at "h1" and break off
    And "h1, h2" end
    And 2 endpoints of "v2" come, and those of "v1" leave
    And "h1, h2" start anew
    And they are taken up at "h2"
    Then no stream holds events of two versions

  Scenario: Three versions serve in turn
    Given the platform with 0 endpoints, and the hosts "h1, h2"
    And 2 endpoints of the version "v1" and 2 of "v2"
    When 8 streams begin at "h1" and break off
    And 2 endpoints of "v3" come, and those of "v1" leave
    And 8 more streams begin at "h1" and break off
    And "h1, h2" end and start anew
    And they are taken up at "h2"
    Then no stream holds events of two versions
    And at least 8 of them were answered whole

  Scenario: Streams of the only version go on at hosts that start anew
    Given the platform with 0 endpoints, and the hosts "h1, h2"
    And 2 endpoints of the version "v1" and 0 of "v2"
    When 8 streams begin at "h1" and break off
    And "h1, h2" end and start anew
    And they are taken up at "h2"
    Then at least 8 of them were answered whole

  Scenario: Streams of the only version go on while the store is away
    Given the platform with 0 endpoints, and the hosts "h1, h2"
    And 2 endpoints of the version "v1" and 0 of "v2"
    And the store has been away for 2.5 s
    When 8 streams begin at "h1" and break off
    And they are taken up at "h2"
    Then at least 8 of them were answered whole

  Scenario: A caller that doesn't say which stream it takes up is refused while there are two versions
    Given the platform with 0 endpoints, and the hosts "h1, h2"
    And 2 endpoints of the version "v1" and 2 of "v2"
    When 8 streams begin at "h1" and break off
    And they are taken up at "h2", without saying which
    Then no stream holds events of two versions

  Scenario: An item goes on at the version that began it, or starts anew
    Given the platform with 0 endpoints, and the hosts "h1"
    And the runners "r1"
    And 2 endpoints of the version "v1" and 2 of "v2"
    And the endpoints answer "cut" to the next 48 requests
    When "desk" submits the job "j1" of 16 items to "h1"
    Then all 16 results of "j1" can be read whole at "h1" and "h1"
    And no item went on at another version

  Scenario: An item that had no event when its version left runs at another
    Given the platform with 0 endpoints, and the hosts "h1"
    And the runners "r1"
    And 2 endpoints of the version "v1" and 0 of "v2"
    And the endpoints of "v1" lose their answers to "j1"
    When "desk" submits the job "j1" of 4 items to "h1"
    And 4 items have arrived
    And 2 endpoints of "v2" come, and those of "v1" leave
    Then all 4 results of "j1" can be read whole at "h1" and "h1"

  Scenario: An item whose version has left starts anew at another runner
    Given the platform with 0 endpoints, and the hosts "h1"
    And the runners "r1, r2"
    And 2 endpoints of the version "v1" and 0 of "v2"
    And the endpoints take 1 s for an event
    When "desk" submits the job "j1" of 4 items to "h1"
    And progress of "j1" is recorded
    And the endpoints of "v1" send no more events
    And 2 endpoints of "v2" come, and those of "v1" leave
    And the runner that has "j1" is killed
    Then all 4 results of "j1" can be read whole at "h1" and "h1"
    And no item went on at another version
