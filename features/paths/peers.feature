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

  Scenario Outline: What is restricted to regions is carried by peers there only
    A body that any peer may carry leaves the regions in which it may be.

    Given a host whose peers "p1, p2, p3" are in the data centres "a, b, c"
    And the peers' regions are a = north, b = south
    Then "<peers>" may carry what is restricted to the regions "<regions>"

    Examples:
      | regions      | peers      |
      | any          | p1, p2, p3 |
      | north        | p1         |
      | north, south | p1, p2     |
      | elsewhere    | none       |
