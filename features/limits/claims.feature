Feature: A slot changes owner only when its owner can no longer use it
  Tests the planner alone, with a manual clock.

  Scenario: A host waits after its suspicion before it claims a missing owner's parts
    Given a limits planner of host "a1" and a table owned by "a2"
    When only "a1" is live
    Then the limits plan suspects "a2" and requires its lease key to be absent
    And the leased part is claimed after 20 seconds, not before
    And the durable part is claimed after 5400 seconds, not before

  Scenario: An owner that reconnects clears its suspicions
    Given a limits planner of host "a1" and a table owned by "a2"
    When only "a1" is live
    And "a2" reconnects and clears its suspicions
    Then "a1" claims nothing after 6000 seconds without a new suspicion

  Scenario: A host uses slots of its earlier run only after that run's loans have ended
    Given a limits planner of host "a1" and a table owned by an earlier "a1"
    When only "a1" is live
    Then all parts are claimed at once, and usable once loans have ended

  Scenario: A host of the same name on another machine isn't an earlier run
    Given a limits planner of host "a1" and a table owned by "a1" on another machine
    When only "a1" is live
    Then nothing is claimed at once

  Scenario: A draining host uses its slots until its loans have ended
    Given a limits planner of host "a1" and a table owned by itself
    When it starts to drain
    Then its allocations are valid for 5 seconds, and its slots are released only afterwards
