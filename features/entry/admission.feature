Feature: Requests wait for their account's budget only while they can be served in time
  A caller that has left must not use budget, nor delay those that wait behind it.

  Scenario: A request waits for budget that is due within a quarter of its objective
    Given an account without budget, of which 20 requests a second are admitted
    When a request with an objective of 0.3 s comes
    Then it is admitted after a wait

  Scenario: A caller that leaves gives up its place
    Given an account without budget, of which 20 requests a second are admitted
    When a request with an objective of 0.3 s comes, whose caller leaves
    Then nobody waits, and no budget was used

  Scenario: Nothing waits where the wait is turned off
    Given an account without budget, of which 20 requests a second are admitted
    And the host's settings turn the wait off
    When a request with an objective of 0.3 s comes
    Then it is refused on arrival, with a time to retry
