Feature: A host that runs items keeps up with many hosts' reports
  Reports come hundreds of times a second where there are dozens of hosts.

  Scenario: Reports that come in swarms cost no look for free slots each
    Given a runner with a job of 20 items and an endpoint of 1 slot
    When 300 reports of other hosts come one after the other
    Then it has looked for free slots no more often than its turns come round
    And 1 item runs

  Scenario: An item gives way as soon as a report takes its slot
    Given a runner with a job of 20 items and an endpoint of 1 slot
    When 1 report of other hosts comes that takes the slot
    Then no item runs

  Scenario: Items that have no room hold up none of another service
    Given a runner with a job of 20 items and an endpoint of 1 slot
    And all endpoints of another service are gone, whose job of 5 items is due first
    When it fills endpoints once
    Then 1 item runs
