Feature: A service's stream that broke off doesn't end as a whole one

  Scenario Outline: A stream with no length that ends <where> has <outcome>
    Given a caller of a plain service
    When the service sends events with no length and ends <where>
    Then the caller's answer has <outcome>

    Examples:
      | where                | outcome    |
      | after an event       | ended      |
      | within an event      | broken off |
      | before the first one | broken off |
