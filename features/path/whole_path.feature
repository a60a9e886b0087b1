Feature: The whole path, as separate processes
  Platform, engines, a service and hosts in two data centres run as processes
  of their own; a request and a batch job go through all of them.

  Background:
    Given a platform, an engine in each data centre, and a service
    And a host in each data centre
    And a key of the client account "desk"

  Scenario: An online request is streamed through
    When a caller streams a chat of 6 tokens through host "a1"
    Then the stream has 6 tokens and ends with the done event

  Scenario: A plain service is reached through its route
    When a caller posts "one escort" to "/bookings/1" through host "b1"
    Then the answer is "one escort" and its target was "/bookings/1"
    And the service saw no key

  Scenario: A batch job is accepted, run and read back in the other data centre
    When a caller submits a batch of 12 items through host "a1"
    Then the batch completes with 12 results, read through host "b1"
