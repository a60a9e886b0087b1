Feature: Decisions of the batch scheduler
  Plain classes with a clock moved by hand; no process is started.

  Scenario: Late, doubled and crossed answers are dropped
    Given a ledger of 3 items of which item 0 has been tried twice
    Then the ledger drops the answer of the first attempt at item 0
    And the ledger drops an answer of item 1 that came for item 0's attempt
    And the ledger takes the answer of the second attempt once

  Scenario: A host that is cut off gives way, one in an outage goes on
    Then an owner with its lease "valid" and a peer that is "cut off" will "go on"
    And an owner with its lease "ended" and a peer that is "cut off" will "go on"
    And an owner with its lease "ended" and a peer that is "connected" will "stop"

  Scenario: A large job doesn't starve a small one of the same account
    Given an open job of 630000 items, and one of 10 items that is due later
    Then the small job is looked at within 4 looks

  Scenario: Accounts get work by their weights
    Given client accounts with the weights 1 and 3 that always want work
    Then 400 items are shared out as 100 and 300

  Scenario: Batch fills the room that online leaves and gives way at once
    Given an endpoint with 32 slots and no online requests
    When batch work may ramp up for 5 s
    Then batch work fills 28 places, of which no tick added more than 2
    When 20 online requests start at this host
    Then 20 batch items are to be cancelled at once
    When the online requests end and 15 s pass
    Then batch work fills 28 places, of which no tick added more than 2

  Scenario: Batch leaves room for what other hosts run
    Given an endpoint with 32 slots and no online requests
    When batch work may ramp up for 5 s
    And the endpoint reports 18 requests more than this host runs
    Then 18 batch items are to be cancelled at once

  Scenario: A host that knows no configuration yet claims nothing
    Given a batch runner whose host has no configuration
    When it looks for work for 2 s
    Then it has claimed nothing and goes on
    When its host learns a configuration and it looks for work for 0.5 s
    Then it has asked the store for jobs
