Feature: Batch gives way to online requests, and comes back

  Scenario: An online burst cancels batch items at the engine, which run later
    Given a batch fleet with hosts in two data centres
    When a batch job of 60 chats with 150 tokens each is accepted by "a1"
    And batch items fill an engine
    And 24 online chats of 40 tokens are sent to "a1" at once
    Then all online chats are answered, and batch items were cancelled for them
    And the batch job completes and passes the audit through "b1"
