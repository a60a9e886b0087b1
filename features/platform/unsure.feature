Feature: A host that can't know the newest configuration doesn't say that something isn't there

  Scenario Outline: A host that lost the store doesn't deny what operators may have added since
    Given the platform with 1 endpoints, and the hosts "h1"
    And the store <trouble>
    Then "h1" comes to refuse these as "configuration_stale", not run, with when to come back
      | path    | key      |
      | /none/1 | desk-key |
      | /ask/1  | new-key  |
      | /ask/1  |          |
    When operators add the route "new" and the key "new-key" of "desk"
    Then "h1" refuses "/new/1" as "configuration_stale"
    When "desk" asks "h1" 3 times for "/ask/1"
    Then all were answered whole
    When the store answers again
    Then "h1" comes to answer "/new/1" and the key "new-key"
    And "h1" comes to refuse "/none/1" as "route_unknown"

    Examples:
      | trouble       |
      | turns it away |
      | is silent     |
