Feature: Items go on where a lost host left them
  Hosts are lost with items half done. To run them again from the start takes slots
  from other items, and many of them then end too late.

  Background:
    Given a store with history, and two hosts that accept jobs
    And the job "j1" of 3 items is open
    And the first host has claimed "j1"

  Scenario: The next host continues after the last checkpoint
    When item 1 receives 4 events at the first host
    And the first host writes a checkpoint
    And item 1 receives 2 events at the first host
    And its lease lapses, and the second host claims "j1"
    Then the second host resumes item 1 after event 4
    And the second host has 4 events of item 1
    And the second host runs item 0 from the start

  Scenario: The next host knows at which software version an item may be resumed
    When item 1 receives 4 events of "v2" at the first host
    And the first host writes a checkpoint
    And its lease lapses, and the second host claims "j1"
    Then the second host resumes item 1 after event 4
    And the second host may resume item 1 at version "v2" only

  Scenario: Progress that a host without versions has written is still read
    When item 1 receives 4 events at the first host
    And the first host writes a checkpoint as older hosts do
    And its lease lapses, and the second host claims "j1"
    Then the second host resumes item 1 after event 4

  Scenario: An older host passes over the versions
    When item 1 receives 4 events of "v2" at the first host
    And the first host writes a checkpoint
    Then each row of the progress of "j1" has three values, and the last row's id is empty

  Scenario: A host that lost its claim doesn't overwrite the progress of the next one
    When item 1 receives 4 events at the first host
    And its lease lapses, and the second host claims "j1"
    And item 1 receives 6 events at the second host
    And the second host writes a checkpoint
    And the first host tries to write a checkpoint
    Then the progress that is stored has 6 events

  Scenario: Jobs whose claims are held are written although another claim has lapsed
    Given the first host has also claimed "j2", of which it loses the claim
    When item 1 receives 4 events at the first host
    And an item of "j2" receives 3 events
    And the first host writes a checkpoint
    Then the progress of "j1" that is stored has 4 events
    And no progress of "j2" is stored

  Scenario: Nothing is written while no item receives events
    When item 1 receives 4 events at the first host
    And the first host writes a checkpoint
    Then a further checkpoint makes no call to the store

  Scenario: The progress of an item that has ended is ignored
    When item 1 receives 4 events at the first host
    And the first host writes a checkpoint
    And the first host commits the result of item 1
    And its lease lapses, and the second host claims "j1"
    Then the second host has to run the items 0 and 2

  Scenario: Progress that exceeds a value of the store is left out
    When each item receives an event of 300,000 bytes at the first host
    And the first host writes a checkpoint
    Then the progress that is stored has 1 event
