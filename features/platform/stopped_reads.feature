Feature: A read that waits for results is answered before its host stops
  It would be cut off without an answer, and its caller would take the host for broken.

  Scenario: A read that asks to wait until after the stop is answered in time
    Given the platform with 1 endpoints, and the host "h1", which has 5 s to stop
    When "desk" submits the job "j1" of 1 items to "h1"
    And "h1" is told to stop
    And "desk" reads "j1" at "h1" and asks to wait for 5000 ms
    Then it is answered with 200 within 4.5 s
