Feature: A host that starts again frees what its earlier process had claimed

  Scenario: Its earlier process was killed a moment ago
    Given a store with the host "h1" registered, which has claimed "work/j1"
    And the host "h2" registered, which has claimed "work/j2"
    When "h1" is killed and registers again
    Then "work/j1" is free, and "work/j2" is claimed
    And both hosts are registered

  Scenario: Its lease has lapsed and it registers again itself
    Given a store with the host "h1" registered, which has claimed "work/j1"
    When the lease of "h1" lapses, and "h2" claims "work/j1" before it is back
    Then "work/j1" is claimed
