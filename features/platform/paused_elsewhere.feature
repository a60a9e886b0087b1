Feature: What lies at a paused store or host isn't taken for refused
  A paused process reads what its kernel kept for it when it wakes, and acts on it,
  though the sender gave up long before.

  Scenario: The end of a job that a paused store writes on waking was not refused
    Given the platform with 1 endpoints, and the host "h1" behind a link to the store
    And "desk" has submitted the job "j1" of 3 items to "h1", and read it there
    When the store is paused, and "desk" ends "j1" at "h1"
    And the link to the store breaks after 3 s, and the store wakes after the answer
    Then the end of "j1" is written
    And the answer is 502, and says that it may have run

  Scenario: A job that a paused store writes on waking was not refused
    Given the platform with 1 endpoints, and the host "h1" behind a link to the store
    When the store is paused, and "desk" submits the job "j1" of 3 items to "h1"
    And the link to the store breaks after 1.5 s, and the store wakes after the answer
    Then the job "j1" is written
    And the answer is 502, and says that it may have run

  Scenario: A job that a paused host passes on upon waking was not refused
    Given the platform with 1 endpoints, and the hosts "h1"
    And the host "h3" behind a link to the store
    And all hosts know each other
    When the link of "h3" to the store breaks, and "h3" goes by way of "h1"
    And the host "h1" is paused, and "desk" submits the job "j1" of 3 items to "h3"
    And "h1" wakes after the answer
    Then the job "j1" is written
    And the answer is 502, and says that it may have run
    When "desk" submits the job "j1" of 3 items to "h1"
    Then it is accepted

  Scenario: Items of an endpoint that is paused have one whole result each
    Given the platform with 2 endpoints, and the hosts "h1, h2"
    And the runners "r1"
    And the endpoints take 0.1 s for an event
    When "desk" submits the job "j1" of 12 items to "h1"
    And "e1" is paused with items for 5 s
    Then it is accepted
    And all 12 results of "j1" can be read whole at "h1" and "h2"
