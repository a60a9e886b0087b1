Feature: A claim that nobody runs doesn't keep a chunk for ever

  Scenario: A claim stays behind because the store goes away before it is released
    Given a store that goes away once a chunk is claimed, with a job of 2 items
    And a batch runner "a1" on that store
    When the runner looks for work for 0.3 s
    Then the store has a claim of "a1" that the runner doesn't run
    When that store is back and the runner looks for work for 1 s
    Then the runner has claimed the chunk again

  Scenario: A claim of an earlier process of the same name is left to its lease
    Given a store that goes away once a chunk is claimed, with a job of 2 items
    And a batch runner "a1" on that store
    When the runner looks for work for 0.3 s
    And that store is back and another runner "a1" looks for work for 1 s
    Then the claim is as it was
