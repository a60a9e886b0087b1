Feature: Overload
  Accounts share the endpoints by their weights, and requests that can't be served
  in time are refused at once.

  Scenario: Requests are served in the order of virtual time
    Given queueing: a fair queue with accounts "big, small" of weights "1, 1"
    When queueing: "big" adds 20 requests of cost 1 and then "small" adds 3
    Then queueing: the first 7 served have 3 of "small"

  Scenario: The order depends on weights and work, not on numbers of requests
    Given queueing: a fair queue with accounts "heavy, light" of weights "1, 2"
    When queueing: "heavy" adds 100 requests of cost 4 and "light" 100 of cost 1
    Then queueing: of the first 400 units of work served "light" has 200 to 280

  Scenario: Withdrawn requests don't count against their account
    Given queueing: a fair queue with accounts "big, small" of weights "1, 1"
    When queueing: "big" adds 10 requests and withdraws them
    And queueing: "big" and "small" add 4 requests each
    Then queueing: the first 4 served have 2 of "small"

  Scenario: Unused capacity gives an account no precedence
    Given queueing: a fair queue with accounts "big, small" of weights "1, 1"
    When queueing: "big" adds 12 requests of cost 4 and 6 served ones cost nothing
    And queueing: "small" adds 3 requests
    Then queueing: the first 4 served have 3 of "small"

  Scenario: A flood of one account doesn't delay another
    Given queueing: a host before an engine with 4 slots
    When queueing: "flood" sends 48 chats at once and "quiet" sends 4, one by one
    Then queueing: all of "quiet" are answered before most of "flood" are
    And queueing: each chat was answered or refused as overloaded

  Scenario: Requests that can't be served in time are refused at once and not run
    Given queueing: a host before an engine with 4 slots
    When queueing: "flood" sends 60 chats at once with a deadline of 1 second
    Then queueing: some were refused as overloaded with a time to retry after
    And queueing: the engine ran none of the refused requests

  Scenario: Batch items don't delay online requests
    Given queueing: a gate with a manual clock before an engine with 4 slots
    When queueing: 4 batch calls run and 8 more wait
    Then queueing: an online call starts at once
    And queueing: no batch call starts while an online call waits
