Feature: Interrupted streams
  A stream resumes at another endpoint without duplicate or lost tokens, or it ends
  so that a caller can see that it is incomplete.

  Background:
    Given routing: slow engines "engine-1, engine-2" behind a proxy
    And routing: a host "a1" with a caller

  Scenario: An engine crashes during a stream
    When routing: a stream of 40 tokens has begun
    And routing: the engine that runs it is killed
    Then routing: the stream is complete with its own 40 tokens

  Scenario: The usage of a resumed stream counts all its tokens
    When routing: a stream of 30 tokens with usage has begun
    And routing: the engine that runs it is killed
    Then routing: the stream is complete with its own 30 tokens
    And routing: its usage reports 30 tokens

  Scenario: An engine is paused during a stream and resumed later
    When routing: a stream of 40 tokens has begun
    And routing: the engine that runs it is paused
    Then routing: the stream is complete with its own 40 tokens
    When routing: the paused engine is resumed
    And routing: 6 chats are requested with a deadline of 10 seconds
    Then routing: each chat got its own complete answer

  Scenario: The connection is reset during a stream
    When routing: a stream of 40 tokens has begun
    And routing: all links are reset
    Then routing: the stream is complete with its own 40 tokens

  Scenario: Engines that can't resume leave a visibly incomplete stream
    Given routing: the engines can't resume
    When routing: a stream of 40 tokens has begun
    And routing: the engine that runs it is killed
    Then routing: the stream ends visibly incomplete

  Scenario: A stream that no engine can resume goes on at the engine that was paused
    Given routing: the engines can't resume
    When routing: a stream of 40 tokens has begun
    And routing: the engine that runs it is paused for 3 s
    Then routing: the stream is complete with its own 40 tokens
