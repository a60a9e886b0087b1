Feature: Peers that failed are asked last for a while
  An endpoint that is down fails at every peer, which must not spoil the choice for others.

  Background:
    Given a host that hears the peers "p1, p2, p3, p4"

  Scenario: A peer that may reach no endpoint is asked last for all
    When no endpoint is reached through "p1"
    Then "p1" is asked last for "e1"
    And "p1" is asked last for "e2"

  Scenario: A peer that doesn't reach one endpoint is asked like others for the rest
    When only "e1" isn't reached through "p1, p2, p3"
    And no endpoint is reached through "p4"
    Then "p4" is asked last for "e2"
    When 2.1 s pass for the host
    Then "p4" is asked like the others for "e2"
