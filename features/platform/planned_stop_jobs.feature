Feature: A host that is about to stop leaves no request for a job without an answer
  A stopping host cuts off what still runs when its time is over. A submission that
  retries at the store, or a read that waits for results, could last longer.

  Background:
    Given the platform with 1 endpoints, and the host "h1", which has 4 s to stop

  Scenario: A job whose acceptance may last until after the stop is refused at once
    Given the store doesn't answer
    And "h1" is told to stop
    When "desk" submits a job to "h1" with 30000 ms to wait
    Then it is refused as not run, and may be sent again at once

  Scenario: A read that may wait for results until after the stop is refused at once
    Given a job of "desk" that nobody runs, submitted to "h1"
    And "h1" is told to stop
    When "desk" reads the job at "h1" with 5000 ms to wait for results
    Then it is refused as not run, and may be sent again at once

  Scenario: A read that ends before the stop is answered
    Given a job of "desk" that nobody runs, submitted to "h1"
    And "h1" is told to stop
    When "desk" reads the job at "h1" with 1000 ms to wait for results
    Then it was answered whole
