Feature: Nothing of a job starts long after its caller was told that it is ended

  # Found by a hunt of abycat-serve (journal 5cd24cbb).
  Scenario: An ended job whose end can't be taken in at the store starts nothing
    Given a runner with a job of 20 items and an endpoint of 8 slots
    And the job was ended by its caller, and writes get no answer
    When the runner looks for items to start
    Then 0 items were started

  Scenario: Progress that waits to be written again doesn't hide that a job was ended
    Given a runner with a job of 20 items and an endpoint of 8 slots
    And the job was ended by its caller, and writes get no answer
    And the job's progress is not written again for 60 s
    When the runner looks for items to start
    Then 0 items were started

  Scenario: A runner that can't know of an end any more starts nothing
    Given a runner with a job of 20 items and an endpoint of 8 slots
    And what it knows of the jobs' ends was read 2.5 s ago
    When the runner looks for items to start
    Then 0 items were started
    When what it knows of the jobs' ends is read again
    And the runner looks for items to start
    Then 1 item was started

  Scenario Outline: What a host knows of ends is trusted for 2 s, or while nobody can write one
    Given a host that read <read> s ago which jobs are ended, and claimed its own <claimed> s ago
    And the store answered a host <answered> s ago, as far as it hears
    And of 3 data centres it hears <heard>, of which <reaching> say that they reach the store
    Then items of its job <may> start

    Examples:
      | read | claimed | answered | heard | reaching | may     |
      | 1.9  | 60      | 0.5      | 3     | 3        | may     |
      | 2.1  | 60      | 0.5      | 3     | 3        | may not |
      | 2.1  | 1.9     | 0.5      | 3     | 3        | may     |
      | 60   | 60      | 0.5      | 3     | 0        | may not |
      | 60   | 60      | 60       | 3     | 0        | may     |
      | 60   | 60      | 60       | 3     | 1        | may not |
      | 60   | 60      | 60       | 2     | 0        | may not |
      | 60   | 60      | 60       | 0     | 0        | may not |

  Scenario: A read that hangs is given up soon, and the next one doesn't wait for changes
    Given a follower of open jobs whose first watch at the store gets no answer
    When it has read 4 times
    Then it allowed these reads so many seconds
      | read  | waits | seconds |
      | range |       | 1.2     |
      | watch | 0.5   | 1.7     |
      | watch | 0     | 1.2     |
      | watch | 0.5   | 1.7     |
