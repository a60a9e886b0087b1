Feature: Batch jobs on the platform, through real processes

  Background:
    Given the platform with 2 endpoints, and the hosts "h1, h2"
    And the runners "r1, r2"

  Scenario: A job is accepted at one host and read at another
    When "desk" submits the job "j1" of 6 items to "h1"
    Then it is accepted
    And all 6 results of "j1" can be read whole at "h1" and "h2"

  Scenario: A job that is sent again is the same job
    When "desk" submits the job "j1" of 6 items to "h1"
    And "desk" submits the job "j1" of 6 items to "h2"
    Then it is accepted
    And all 6 results of "j1" can be read whole at "h1" and "h2"

  Scenario Outline: Items that break off go on after their last event
    Given the endpoints answer "<fault>" to the next 4 requests
    When "desk" submits the job "j1" of 6 items to "h1"
    Then all 6 results of "j1" can be read whole at "h1" and "h2"

    Examples:
      | fault |
      | cut   |
      | lost  |
      | 500   |

  Scenario: An item that can't be done is given up, the others are not
    Given the endpoints answer "422" to requests for "j1-2"
    When "desk" submits the job "j1" of 6 items to "h1"
    Then "j1" ends with "j1-2" given up and 5 items done
    And "j1-2" arrived at the endpoints 1 time

  Scenario: An item that fails each time is given up after its attempts
    Given the endpoints answer "500" to requests for "j1-2"
    When "desk" submits the job "j1" of 6 items to "h1"
    Then "j1" ends with "j1-2" given up and 5 items done
    And "j1-2" arrived at the endpoints 3 times

  Scenario: The host that runs a job is killed
    When "desk" submits the job "j1" of 6 items of 100 events to "h1"
    And the runner that has "j1" is killed
    Then all 6 results of "j1" can be read whole at "h1" and "h2"

  Scenario: The host that runs a job is told to end
    When "desk" submits the job "j1" of 6 items of 100 events to "h1"
    And the runner that has "j1" is told to end
    Then all 6 results of "j1" can be read whole at "h1" and "h2"

  Scenario: The store is away while items run
    When "desk" submits the job "j1" of 6 items of 100 events to "h1"
    And the store is away for 2 s and back
    Then all 6 results of "j1" can be read whole at "h1" and "h2"

  Scenario: Nothing starts long after the store went away, and all goes on after its return
    When "desk" submits the job "j1" of 40 items of 100 events to "h1"
    And 10 items run
    And the store goes away for 4 s
    Then no item of "j1" reached an endpoint later than 3 s after it went
    And all 40 results of "j1" can be read whole at "h1" and "h2"

  Scenario: The store's answers to writes are lost
    Given the answers to the store's next 5 writes are lost
    When "desk" submits the job "j1" of 6 items to "h1"
    Then all 6 results of "j1" can be read whole at "h1" and "h2"

  Scenario: All hosts are killed right after a job was accepted
    When "desk" submits the job "j1" of 6 items to "h1"
    And all hosts are killed and start again
    Then all 6 results of "j1" can be read whole at "h1" and "h2"

  Scenario: A job that its caller has ended stops, and stays readable
    When "desk" submits the job "j1" of 6 items of 400 events to "h1"
    And "desk" ends "j1" at "h2" once items run
    Then nothing of "j1" runs any more
    And "j1" can be read at "h1" and "h2"
    And the body of "j1-2" is not shown any more

  # Found by a hunt of abycat-serve (journal 5cd24cbb).
  Scenario: A job is ended just when the runners' watches at the store get stuck
    Given the endpoints take 0.05 s for an event
    When "desk" submits the job "j1" of 200 items of 20 events to "h1"
    And watches at the store get stuck for 0.7 s
    And "desk" ends "j1" at "h2" once items run
    Then no item of "j1" reaches an endpoint later than 3 s after that

  Scenario: Bodies can be read until the job is ended, by their own account only
    Given the endpoints take 0.2 s for an event
    When "desk" submits the job "j1" of 6 items to "h1"
    Then the body of "j1-2" can be read at "h1" and "h2"
    And "other" is told at "h1" that there is no "j1"

  Scenario: Online requests go before items
    When "desk" submits the job "j1" of 40 items of 300 events to "h1"
    And 14 items run
    And "desk" asks "h1" for 12 streams at the same time
    Then all were answered whole
    And items gave way

  Scenario: A host with a disk is to be emptied
    When operators ask for "r1" to be emptied
    Then the platform is told that this is done

  Scenario Outline: An item's own <name> neither replaces what this system sets nor reaches an endpoint
    When "desk" submits the job "j1" of 3 items to "h1", with these header fields in each
      | name   | value   |
      | <name> | <value> |
    Then all 3 results of "j1" can be read whole at "h1" and "h2"
    And the endpoints saw the account "desk", no key and a whole body with 3 items

    Examples:
      | name              | value     |
      | X-Tenant          | other     |
      | X-Api-Key         | desk-key  |
      | Last-Event-Id     | 4         |
      | X-Expect-Instance | elsewhere |
      | X-Request-Id      | q1        |
      | X-Deadline-Ms     | 1         |
      | Transfer-Encoding | chunked   |
      | Content-Length    | 3         |

  Scenario: A job that is not well formed is refused
    When these jobs are submitted to "h1"
      | body                                            |
      | nothing                                         |
      | {}                                              |
      | {"items":[]}                                    |
      | {"items":[{"id":"a","path":"/night/x"}]}        |
      | {"items":[{"id":"a","path":"/night/x","headers":{},"body":"?","tokens":1}]} |
      | {"items":[{"id":"","path":"/night/x","headers":{},"body":"","tokens":1}]} |
      | {"items":[{"id":"a","path":"/night/x","headers":{},"body":"","tokens":-1}]} |
    Then each was refused by 400

  Scenario: A job with an item that no request can carry is refused
    When these jobs are submitted to "h1"
      | body                                                                                |
      | {"items":[{"id":"a","path":"/night/x","headers":{"X-A":"b\r\nc"},"body":"","tokens":1}]} |
      | {"items":[{"id":"a","path":"/night/x","headers":{"X A":"b"},"body":"","tokens":1}]}    |
      | {"items":[{"id":"a","path":"/night/x","headers":{"X-A":1},"body":"","tokens":1}]}      |
      | {"items":[{"id":"a","path":"/night/x","headers":{"X-A":"\u20ac"},"body":"","tokens":1}]}   |
      | {"items":[{"id":"a\nb","path":"/night/x","headers":{},"body":"","tokens":1}]}         |
      | {"items":[{"id":"a","path":"/night/x y","headers":{},"body":"","tokens":1}]}         |
    Then each was refused by 400

  # Guards against results that end together and exceed a value of the store (LOST).
  Scenario: Results of 3 MB that end within moments are listed on a calm day
    Given each event has 7,000 bytes
    When "desk" submits the job "j1" of 24 items of 20 events to "h1"
    Then all 24 results of "j1" can be read whole at "h1" and "h2"
    And the platform's store refused no write

  # Guards against results that gather while the store is away (LOST).
  Scenario: Results of 3 MB that end while the store is away are listed afterwards
    Given each event has 7,000 bytes
    When "desk" submits the job "j1" of 24 items of 20 events to "h1"
    And the store is away for 2 s and back
    Then all 24 results of "j1" can be read whole at "h1" and "h2"
    And the platform's store refused no write
