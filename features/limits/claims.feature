Feature: Slots change hands only when their owner can't use them
  Decisions only; time is moved by hand.

  Scenario: A host that misses an owner waits from its suspicion on
    Given a limits planner of host "a1" and a table owned by "a2"
    When only "a1" is seen live
    Then the limits plan suspects "a2" and needs its lease key absent
    And the leased part is taken after 20 seconds, not before
    And the durable part is taken after 5400 seconds, not before

  Scenario: An owner that comes back clears suspicions
    Given a limits planner of host "a1" and a table owned by "a2"
    When only "a1" is seen live
    And "a2" comes back and clears its suspicions
    Then "a1" takes nothing after 6000 seconds without a new suspicion

  Scenario: A forerunner's loans have ended before its successor begins
    Given a limits planner of host "a1" and a table owned by an earlier "a1"
    When only "a1" is seen live
    Then all parts are claimed at once, and start when loans have ended

  Scenario: A twin on another machine is no forerunner
    Given a limits planner of host "a1" and a table owned by "a1" elsewhere
    When only "a1" is seen live
    Then nothing is claimed at once

  Scenario: A host that is to give slots up uses them until its loans have ended
    Given a limits planner of host "a1" and a table owned by itself
    When it is about to end
    Then its rights are valid for 5 seconds, and released only afterwards
