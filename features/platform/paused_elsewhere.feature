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
