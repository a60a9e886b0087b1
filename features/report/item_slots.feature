Feature: The slot time of batch items is told apart by how they ended

  Scenario: Items that end in time, late, and after a host was lost
    Given the log of a day, whose jobs are due after 18 s
      | at | message                 | job | item | last event |
      | 1  | job accepted            | j1  |      |            |
      | 2  | item started            | j1  | i1   |            |
      | 5  | item gives way          | j1  | i1   |            |
      | 6  | item started            | j1  | i1   | 40         |
      | 8  | item ended              | j1  | i1   |            |
      | 2  | item started            | j1  | i2   |            |
      | 6  | item gives way          | j1  | i2   |            |
      | 14 | item started            | j1  | i2   |            |
      | 20 | item ended              | j1  | i2   |            |
    And its last line is cut
    Then 1 item took 5 s of slots and ended in time
    And 1 item took 10 s of slots, of which 4 s were lost, and was late
