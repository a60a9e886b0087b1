Feature: One runner reads the changes of open jobs for all
  Guards against a runner that takes changes for complete although it has missed some,
  against copies that seem younger than the read that they are from, and against claims
  that are taken over after an outage because another runner has read first.

  Background:
    Given two runners that have read the open jobs

  Scenario: The other runner has the changes without a call
    When "j1" is opened, and the first runner reads
    Then the second runner knows "j1" after 1 call in all

  Scenario: One datagram is lost
    When "j1" is opened, and the first runner reads, but its news is lost
    And "j2" is opened, and the first runner reads
    Then the second runner knows "j1, j2" after 2 calls in all

  Scenario: Two datagrams in a row are lost
    When "j1" is opened, and the first runner reads, but its news is lost
    And "j2" is opened, and the first runner reads, but its news is lost
    And "j3" is opened, and the first runner reads
    Then the second runner knows "" after 3 calls in all
    And the second runner has to read at once
    When the second runner reads
    Then the second runner knows "j1, j2, j3" after 4 calls in all

  Scenario: The copy is as old as the read, however late its news
    When "j1" is opened, and the first runner reads, and its news waits for 0.3 s
    Then the second runner knows "j1" after 1 call in all
    And its copy is at least 0.3 s old

  Scenario: News of changes that it has read itself changes nothing
    When "j1" is opened, and the first runner reads, but its news is lost
    And "j2" is opened, and the second runner reads
    And the lost news arrives
    Then the second runner knows "j1, j2" after 2 calls in all

  Scenario: A claim that lapsed in an outage is reserved for its host
    Given "j1" is open and claimed, as both runners know
    When no runner reads for 3 s, and the claim lapses
    And "j2" is opened, and the first runner reads
    Then "j1" is still reserved for its host at the second runner
