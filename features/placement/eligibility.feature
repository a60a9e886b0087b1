Feature: Whether work may go to an endpoint now
  Work must not reach an endpoint that is leaving, whose data centre is evacuated, or
  that is in a region where the work may not run, also if no other endpoint is left. A
  place that sends work without asking, or an order that is lost, lets it through.

  Background:
    Given the endpoints "a1, a2" of "a", "b1" of "b" and "c1" of "c"
    And the regions a = north, b = south

  Scenario Outline: An endpoint is ineligible for a reason
    Given the data centres "<evacuated>" are evacuated, and "<leaving>" is leaving
    Then the reason for "<endpoint>" is "<reason>" with the regions "<regions>"

    Examples:
      | evacuated | leaving | endpoint | regions      | reason    |
      | none      | none    | a1       | any          | none      |
      | none      | none    | c1       | any          | none      |
      | b         | none    | b1       | any          | evacuated |
      | b         | none    | a1       | any          | none      |
      | b         | b1      | b1       | south        | leaving   |
      | none      | none    | b1       | north        | region    |
      | none      | none    | b1       | north, south | none      |
      | none      | none    | c1       | north, south | region    |
      | none      | none    | a1       | nowhere      | region    |
      | none      | none    | gone     | any          | leaving   |

  Scenario Outline: Only eligible endpoints are chosen, usable and counted
    Given the data centres "<evacuated>" are evacuated, and "<leaving>" is leaving
    Then "<usable>" are chosen, usable and counted with the regions "<regions>"

    Examples:
      | evacuated | leaving | regions | usable         |
      | none      | none    | any     | a1, a2, b1, c1 |
      | a         | none    | any     | b1, c1         |
      | none      | a1      | north   | a2             |
      | a         | none    | north   | none           |
      | a, b, c   | none    | any     | none           |
      | none      | none    | nowhere | none           |

  Scenario: Ineligible endpoints are no fallback for those that are unhealthy
    Given the data centres "b, c" are evacuated, and "none" is leaving
    When "a1, a2" accept no connections
    Then "a1, a2" are chosen, usable and counted with the regions "any"

  Scenario Outline: Route and account restrict a request together
    Given a route with the regions "<route>" and an account with "<account>"
    Then their requests may run in "<both>"

    Examples:
      | route        | account | both  |
      | any          | any     | any   |
      | north        | any     | north |
      | any          | north   | north |
      | north, south | south   | south |
      | north        | south   | nowhere |

  Scenario Outline: A request without an eligible endpoint is refused at once
    Given the data centres "<evacuated>" are evacuated, and "none" is leaving
    Then a request with the regions "<regions>" is refused as "<message>"

    Examples:
      | evacuated | regions | message                                         |
      | a, b, c   | any     | No endpoint can run this: 4 evacuated.          |
      | a         | north   | No endpoint can run this: 2 evacuated, 2 region. |
      | none      | nowhere | No endpoint can run this: 4 region.             |

  Scenario: A request that waits for a region doesn't delay others
    Given all slots of "b1" are in use
    When a request with the regions "south" waits for a slot
    Then a request with the regions "any" gets a slot at once
    And a request with the regions "south" gets none

  Scenario: Requests that are restricted to regions have no precedence
    Given all slots of "a1, a2, b1, c1" are in use
    When requests with the regions "any", "south" and "any" wait, of an account each
    And 2 requests at "b1" end
    Then the first 2 of them get a slot at "b1"

  Scenario: An evacuation of an unknown data centre, and of all, is logged once
    When the data centres "x" are evacuated and checked
    Then it is logged that "x" has no endpoints and no hosts
    When the data centres "a, b, c" are evacuated and checked
    Then it is logged that requests are refused
