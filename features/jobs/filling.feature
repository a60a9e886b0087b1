Feature: A host that runs items keeps up with many hosts' reports
  Dozens of hosts send hundreds of reports a second.

  Scenario: A burst of reports doesn't cause a search for free slots for each report
    Given a runner with a job of 20 items and an endpoint of 1 slot
    When 300 reports of other hosts arrive one after the other
    Then it has searched for free slots at most once per tick
    And 1 item runs

  Scenario: An item is preempted as soon as a report shows its slot in use
    Given a runner with a job of 20 items and an endpoint of 1 slot
    When 1 report of other hosts arrives that shows the slot in use
    Then no item runs

  Scenario: Items without a free slot don't delay items of another service
    Given a runner with a job of 20 items and an endpoint of 1 slot
    And a job of 5 items, due first, of another service that has no endpoints
    When it dispatches items once
    Then 1 item runs

  Scenario: Items that may not run for now take no slot from one that may
    Given a runner with a job of 3 items and an endpoint of 1 slot
    And the items "i0, i1" may not run for now
    When it dispatches items once
    Then the item "i2" runs

  Scenario: A runner that hasn't read a new job's route yet gives up none of its items
    Given a runner with a job of 3 items and an endpoint of 8 slots
    And the job's route is not in the runner's copy of the configuration, read before it claimed the job
    When the runner looks for items to start
    Then no item was given up
    When the runner's copy of the configuration has the route
    And the runner looks for items to start
    Then 1 item was started

  Scenario: A job whose route was removed is given up once the removal is confirmed
    Given a runner with a job of 3 items and an endpoint of 8 slots
    And the job's route is not in the runner's copy of the configuration, read before it claimed the job
    When the runner's copy of the configuration was read after it claimed the job
    And the runner looks for items to start
    Then 3 items were given up

  Scenario: A runner that hears no other host runs no items
    It could not preempt them for online requests that the others send.

    Given a runner with a job of 20 items and an endpoint of 8 slots
    And another host is registered that doesn't report
    When it dispatches items once
    Then no item runs
    When the other host reports once
    Then items run until its report is too old
