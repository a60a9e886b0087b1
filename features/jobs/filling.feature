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

  Scenario: A runner that hasn't read the route of a new job yet gives no item up
    Given a runner with a job of 3 items and an endpoint of 8 slots
    And the job's route is not in the runner's copy of the orders, read before it claimed the job
    When the runner looks for items to start
    Then no item was given up
    When the runner's copy of the orders has the route
    And the runner looks for items to start
    Then 1 item was started

  Scenario: A job whose route is gone is given up once that is certain
    Given a runner with a job of 3 items and an endpoint of 8 slots
    And the job's route is not in the runner's copy of the orders, read before it claimed the job
    When the runner's copy of the orders was read after it claimed the job
    And the runner looks for items to start
    Then 3 items were given up
