Feature: Invalid data from an engine ends a run, and no item is lost

  Scenario: An event that is not valid text ends the run, and earlier events are kept
    Given an item that has the events "one, two"
    When an event with the bytes ff fe arrives
    Then the run is ended with an error
    And the item has the events "one, two", and resumes after number 2

  Scenario: A text without end is discarded whole, and the item is run from its start
    Given an item that has the events "one, two"
    When events of 100000 bytes arrive until the run is ended with an error
    Then fewer than 11 events were accepted
    And the item has no events, and is run from its start

  Scenario: A long-running task is restarted after an unexpected error
    Given a task that fails 3 times, each time with another error, and then ends
    When it runs under supervision
    Then it was started 4 times, and each error was logged
