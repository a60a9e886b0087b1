Feature: A host that can't reach the store finds others that can

  Background:
    Given a host that knows the hosts "h1, h2, h3"

  Scenario: It uses the hosts that report that they reach the store
    When "h1, h2" report, of which "h2" reach the store
    Then its relays are "h2"

  Scenario: It uses no host while none reaches the store
    When "h1, h2" report, of which "" reach the store
    Then its relays are ""

  Scenario: It uses all hosts if it lost the store before they knew of it
    When "" report, of which "" reach the store
    Then its relays are "h1, h2, h3"

  Scenario Outline: Where work is restricted to regions, it uses hosts of its region only
    Calls to the store hold the bodies of jobs.

    When "<reporting>" report, of which "<reporting>" reach the store
    Then its relays in the region of "h1, h3" are "<relays>"

    Examples:
      | reporting | relays |
      | h1, h2    | h1     |
      | h2        |        |
      |           | h1, h3 |
