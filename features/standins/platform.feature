Feature: the platform stand-in fails as the platform may

  Background:
    Given a platform stand-in and its gateway store

  Scenario: a lost answer is reported as lost, and the write took effect once
    When the stand-in loses one answer and a record is written
    Then the write is a commit
    And the record is there, written once

  Scenario: while it is down, calls fail as not sent or lost, and nothing is written
    When the stand-in is down and a key is put
    Then the put failed
    And the key is absent once the stand-in is up again

  Scenario: leases that are expired take their keys along
    When a key hangs on a lease and all leases are expired
    Then the key is gone and the lease can't be renewed

  Scenario: calls above the cap are refused and counted
    When writes are capped at 5 a second and 20 are sent
    Then at least 5 took effect, at least one was refused, and the counts say so

  Scenario: a value over a megabyte is refused
    Then putting a value of 1100000 bytes is refused
