Feature: A request that a paused engine may run on waking isn't refused as not run

  Scenario: No engine is left after one that is paused has been given up
    Given routing: engines "engine-1, engine-2" and services "desk-1" behind a proxy
    And routing: a host "a1" with a caller
    When a chat of 10 s is sent while both engines are paused, and then leave
    Then the chat is answered by 502 as "outcome_unknown", executed "unknown"

  Scenario: The engine that is asked after a paused one is full
    Given routing: engines "engine-1, engine-2" and services "desk-1" behind a proxy
    And routing: a host "a1" with a caller
    When each of 5 chats of 10 s is sent while "engine-1" is paused and "engine-2" answers by 503
    Then each chat that "engine-1" began on waking was answered as one that may have run

  Scenario: Another data centre's engine that is asked after a paused one is full
    Given a batch fleet with hosts in two data centres
    And the chats go to "a1"
    When each of 3 chats of 10 s is sent while "engine-a" is paused and "engine-b" answers by 503
    Then each chat that "engine-a" began on waking was answered as one that may have run
