Feature: The writes of keyed calls share calls to the platform

  Scenario: A data centre's part of 300 keyed calls a second
    When 75 writes a second go to one group writer for 4 s
    Then all group writes took effect, with at least 4 to a call

  Scenario: Of two writers with the same key one is granted
    When two group writers write 50 of the same keys at once
    Then each group key is granted to one writer, and the other reads it
