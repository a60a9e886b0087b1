Feature: Endpoints that leave
  A leaving endpoint gets no new work, whichever source reports it.

  Background:
    Given leaving: 2 hosts before engines "engine-1, engine-2" and a platform's list

  Scenario Outline: <source> reports that an endpoint is leaving
    When leaving: <source> says that "engine-1" is leaving
    Then leaving: every host keeps it from new work
    When leaving: 12 chats are asked for at the hosts
    Then leaving: all were answered and none ran at "engine-1"

    Examples:
      | source            |
      | the engine        |
      | the list          |
      | the configuration |
