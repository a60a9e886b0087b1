Feature: Requests stay in their data centre as long as its endpoints are lightly loaded
  A request that runs in another data centre is lost if either is cut off.

  Background:
    Given endpoints "near" here, and "far1, far2, far3" in another data centre

  Scenario Outline: Near by up to a bound, then wherever there is least
    Given "near" runs <near> online requests, and each other endpoint <far>
    Then the next request <where> "near"

    Examples:
      | near | far | where         |
      | 0    | 0   | goes to       |
      | 3    | 0   | goes to       |
      | 4    | 0   | doesn't go to |
      | 6    | 7   | goes to       |
      | 8    | 7   | doesn't go to |
