Feature: Streams that break
  A stream goes on at another endpoint without doubled or lost tokens, or it
  ends so that a caller sees that it is not whole.

  Background:
    Given routing: slow engines "engine-1, engine-2" behind a proxy
    And routing: a host "a1" with a caller

  Scenario: An engine dies within a stream
    When routing: a stream of 40 tokens has begun
    And routing: the engine that runs it is killed
    Then routing: the stream ends whole with its own 40 tokens

  Scenario: The usage of a resumed stream counts all its tokens
    When routing: a stream of 30 tokens with usage has begun
    And routing: the engine that runs it is killed
    Then routing: the stream ends whole with its own 30 tokens
    And routing: its usage says 30 tokens

  Scenario: An engine freezes within a stream and is woken later
    When routing: a stream of 40 tokens has begun
    And routing: the engine that runs it is paused
    Then routing: the stream ends whole with its own 40 tokens
    When routing: the paused engine is woken
    And routing: 6 chats are asked for with a deadline of 10 seconds
    Then routing: each chat got its own whole answer

  Scenario: The connection is reset within a stream
    When routing: a stream of 40 tokens has begun
    And routing: all links are reset
    Then routing: the stream ends whole with its own 40 tokens

  Scenario: Engines that can't resume leave a stream that is seen to be broken
    Given routing: the engines can't resume
    When routing: a stream of 40 tokens has begun
    And routing: the engine that runs it is killed
    Then routing: the stream breaks off without looking whole
