Feature: A withdrawn key stops working within seconds, on open connections too

  Background:
    Given a fleet whose hosts "a1 b1" can be cut off
    And a key known to all hosts

  Scenario: A withdrawal is confirmed by every host and cuts a running stream
    Given a caller streams a long answer through host "b1"
    When an operator withdraws the key
    Then the command says that the key is withdrawn on "a1 b1"
    And the stream has ended without its last event
    And every host refuses the key with "key_withdrawn"
    And the engine has cancelled the stream

  Scenario: A data centre without the platform learns of a withdrawal from its peers
    When host "b1" is cut off from the platform
    And an operator withdraws the key
    Then the command says that the key is withdrawn on "a1 b1"

  Scenario: A fully disconnected host is reported and stops accepting keys
    Given keys are trusted for 10 seconds
    When host "b1" is cut off from the platform and from its peers
    And an operator withdraws the key
    Then the command says that host "b1" has not confirmed
    And host "b1" eventually refuses the key with "keys_stale"
    When host "b1" is connected again
    Then host "b1" eventually refuses the key with "key_withdrawn"

  Scenario: No withdrawal is reported while the platform is unavailable
    When the platform goes down
    And an operator withdraws the key
    Then the command says that nothing was recorded
    And host "a1" still accepts the key

  Scenario: A withdrawal is recorded although the platform's answer is lost
    When the platform loses the answer of the next write
    And an operator withdraws the key
    Then the command says that the key is withdrawn on "a1 b1"

  Scenario: Operators see a key's label and last use, and the platform only its hash
    When a caller uses the key at host "a1"
    Then the list of keys shows its label and its last use
    And the platform stores the key only as its hash
