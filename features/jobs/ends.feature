Feature: No item of a job starts long after the caller's cancellation was confirmed

  # Found by a random fault run (journal 5cd24cbb).
  Scenario: No item of a cancelled job starts, even if the job can't be closed at the store
    Given a runner with a job of 20 items and an endpoint of 8 slots
    And the job was cancelled by its caller, and writes get no answer
    When the runner looks for items to start
    Then 0 items were started

  Scenario: Progress whose next write is delayed doesn't hide that a job was cancelled
    Given a runner with a job of 20 items and an endpoint of 8 slots
    And the job was cancelled by its caller, and writes get no answer
    And the job's progress is not written again for 60 s
    When the runner looks for items to start
    Then 0 items were started

  Scenario: A runner whose record of cancellations is too old starts no item
    Given a runner with a job of 20 items and an endpoint of 8 slots
    And its record of cancellations was read 2.5 s ago
    When the runner looks for items to start
    Then 0 items were started
    When its record of cancellations is read again
    And the runner looks for items to start
    Then 1 item was started

  Scenario Outline: A host's record of cancellations is valid for 2 s
    Given a host that read <read> s ago which jobs are cancelled, and claimed its job <claimed> s ago
    Then items of its job <may> start

    Examples:
      | read | claimed | may     |
      | 1.9  | 60      | may     |
      | 2.1  | 60      | may not |
      | 2.1  | 1.9     | may     |
      | 60   | 60      | may not |

  Scenario: A read that hangs times out soon, and the next one doesn't wait for changes
    Given a follower of open jobs whose first watch at the store gets no answer
    When it has read 4 times
    Then the reads had these timeouts
      | read  | waits | seconds |
      | range |       | 1.2     |
      | watch | 0.5   | 1.7     |
      | watch | 0     | 1.2     |
      | watch | 0.5   | 1.7     |
