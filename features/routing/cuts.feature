Feature: Network partitions of data centres, and forwarding between them
  A call that can't run locally is forwarded to a host of another data centre; a
  data centre that is cut off keeps using its own endpoints.

  Background:
    Given cuts: two data centres, each with a host, an engine and a link to the others

  Scenario: A call is forwarded to the other data centre when the local engine is down
    Given cuts: the engine of "a" is killed
    When cuts: 6 chats and 2 streams are asked for at "a"
    Then cuts: each got its own whole answer
    And cuts: the engine of "b" saw no key

  Scenario: A caller that disconnects cancels the call in the other data centre
    Given cuts: the engine of "a" is killed
    When cuts: a caller at "a" begins a stream of 3000 tokens and hangs up
    Then cuts: the engine of "b" runs nothing and noted a cancellation

  Scenario: A booking whose answer is lost between data centres ran at most once
    Given cuts: the links to "b" are reset while the service answers slowly
    When cuts: a booking is posted at "a" for the service of "b"
    Then cuts: it is refused with executed "unknown" and ran at most once

  Scenario Outline: Each data centre keeps serving while it is cut off
    Given cuts: <what>
    When cuts: 4 chats and 2 streams are asked for at "a"
    Then cuts: each got its own whole answer
    When cuts: 4 chats and 2 streams are asked for at "b"
    Then cuts: each got its own whole answer
    When cuts: the cut heals
    Then cuts: the hosts know each other again
    When cuts: the engine of "a" dies after that
    And cuts: 3 chats and 1 streams are asked for at "a"
    Then cuts: each got its own whole answer

    Examples:
      | what                                           |
      | all links between the data centres are cut     |
      | only the links towards "b" are cut one way     |
      | everything is cut, the platform with it        |

  Scenario: A call is forwarded at most once
    Given cuts: the engine of "a" is killed
    And cuts: the engine of "b" is killed
    When cuts: a chat is asked for at "a"
    Then cuts: it is refused as not run
