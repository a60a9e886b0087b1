Feature: A host that is about to stop takes no request that it may have to cut off

  Background:
    Given the platform with 1 endpoints, and the host "h1", which has 20 s to stop
    And "h1" is told to stop

  Scenario Outline: A request to <path> that may last until after the stop is refused at once
    When "desk" asks "h1" for "<path>" with 30000 ms to wait
    Then it is refused as not run, and may be sent again at once
    And nothing arrived at the endpoints

    Examples:
      | path    |
      | /ask/1  |
      | /note/1 |
      | /safe/1 |

  Scenario: A job that may be accepted only after the stop is refused at once
    When "desk" submits a job to "h1" with 30000 ms to wait
    Then it is refused as not run, and may be sent again at once

  Scenario: A job that is accepted before the stop is taken
    When "desk" submits a job to "h1" with 4000 ms to wait
    Then the job is accepted

  Scenario Outline: A job that can't be accepted in time is answered at its deadline
    When "desk" submits a job to "h1" with 300 ms to wait, and <trouble>
    Then it is answered with <status> within 1 s

    Examples:
      | trouble              | status |
      | its body never comes | 408    |
      | the store is silent  | 504    |

  Scenario: A request that ends before the stop is served
    When "desk" asks "h1" for "/ask/1" with 4000 ms to wait
    Then it was answered whole
