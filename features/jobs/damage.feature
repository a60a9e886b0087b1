Feature: What is no engine's text ends a run, and loses nothing

  Scenario: An event that is no text breaks the run off, after those before it
    Given an item that has the events "one, two"
    When an event comes with the bytes ff fe
    Then the run breaks off
    And the item has the events "one, two", and goes on after number 2

  Scenario: A text without end is forgotten as a whole, and the item starts anew
    Given an item that has the events "one, two"
    When events of 100000 bytes come until the run breaks off
    Then they were fewer than 11
    And the item has no events, and starts anew

  Scenario: A long task begins again after an error that nobody foresaw
    Given a task that fails 3 times, each in another way, and then ends
    When it is kept running
    Then it has begun 4 times, and each error is in the log
