Feature: Endpoints that leave
  A leaving endpoint gets no new work, whichever source reports it.

  Background:
    Given leaving: 2 hosts, engines "engine-1, engine-2" and a platform's list

  Scenario Outline: <source> reports that an endpoint is leaving
    When leaving: <source> says that "engine-1" is leaving
    Then leaving: no host sends it new work
    When leaving: 12 chats are requested from the hosts
    Then leaving: all were answered and none ran at "engine-1"

    Examples:
      | source            |
      | the engine        |
      | the list          |
      | the configuration |
