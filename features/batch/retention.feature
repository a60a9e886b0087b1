Feature: Files, jobs and results are kept as long as the settings say

  Scenario: Everything of a job is removed once its retention has ended
    Given a batch fleet that keeps things for 3 s and uploads for 1 s
    When chunks of an upload are left behind
    And a batch job of 20 chats, 2 bookings and 1 bad items is accepted by "a1"
    And the batch job completes and its results are read
    Then eventually nothing of the batch job is left at the platform
    And nothing of the unfinished upload is left at the platform
