Feature: The writes of keyed calls share calls to the platform

  Scenario: A data centre's share of 300 keyed calls per second
    When one group writer gets 75 writes per second for 4 s
    Then all group writes take effect, with at least 4 per call

  Scenario: Of two writes of the same key one takes effect
    When two group writers write 50 of the same keys at once
    Then one write of each group key takes effect, and the other writer reads it
