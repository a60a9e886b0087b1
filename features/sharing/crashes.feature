Feature: A request that crashes endpoints is refused for as long as hosts tell of it
  Hosts a, b and c tell each other each second which crashes they have counted.

  # Guards against a request that comes through each minute (BUDGET).
  Scenario: It is refused at all hosts for ten minutes, wherever its crashes were counted
    When the request crashes an endpoint at "a", at "b" and at "c"
    Then it is refused at "a, b, c" for 595 s
    When 10 s pass for the ledgers
    Then it is let through at "a, b, c"

  Scenario: It is refused for ten minutes where one host has counted all crashes
    When the request crashes an endpoint at "a", at "a" and at "a"
    Then it is refused at "a, b, c" for 595 s
    When 70 s pass for the ledgers
    Then it is let through at "a, b, c"

  Scenario: Two crashes are forgotten after a minute
    When the request crashes an endpoint at "a" and at "b"
    And 61 s pass for the ledgers
    And the request crashes an endpoint at "a"
    Then it is let through at "a, b, c"

  Scenario: A host that has started anew, and one that was cut off, refuse it too
    Given "c" hears and tells nothing
    When the request crashes an endpoint at "b", at "b" and at "b"
    And 120 s pass for the ledgers
    And "a" has started anew
    And "c" hears and tells again
    And 2 s pass for the ledgers
    Then it is refused at "a, b, c" for 60 s

  Scenario: An answer lets it through at a host for as long as the others tell of crashes
    When the request crashes an endpoint at "a", at "b" and at "b"
    And the request is answered at "c"
    And 200 s pass for the ledgers
    Then it is let through at "c"
    When the request crashes an endpoint at "a"
    And 2 s pass for the ledgers
    Then it is refused at "a, b" for 60 s
