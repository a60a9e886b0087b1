Feature: Endpoints that are told to end a run spoil no answer
  A host that leaves a silent endpoint ends its sending side and reads on. What the
  endpoint then sends, and how it ends the connection, is no whole answer.

  Scenario Outline: An answer <framing> to <path> that ends where its endpoint was told to isn't whole
    Given the platform with an endpoint that sends a part of its answers <framing>, <begins> it is told to end, and a sound one
    When 6 requests are sent to "<path>"
    Then each whole answer has each event once
    And some were sent by each of both endpoints

    Examples:
      | path   | framing        | begins |
      | /note/ | without length | before |
      | /note/ | in chunks      | before |
      | /note/ | without length | after  |
      | /safe/ | without length | after  |
      | /safe/ | in chunks      | after  |

  Scenario Outline: Callers who leave while their endpoint is told leave nothing behind
    Given the platform with an endpoint that sends a part of its answers in chunks, <begins> it is told to end, and a sound one
    When 8 callers of "/note/" leave after 1.7 s, three times
    Then no endpoint works for them half a second later
    And the host has as many connections as its endpoints' idle ones
    And 8 requests that run once are served at a time

    Examples:
      | begins |
      | before |
      | after  |
