Feature: Requests stay in their data centre as long as its endpoints are lightly loaded
  A request that runs in another data centre is lost if either is cut off.

  Background:
    Given a local endpoint "near", and endpoints "far1, far2, far3" of another data centre

  Scenario Outline: A local endpoint is preferred up to a load limit, then the least loaded
    Given "near" runs <near> online requests, and each other endpoint <far>
    Then the next request <where> "near"

    Examples:
      | near | far | where         |
      | 0    | 0   | goes to       |
      | 3    | 0   | goes to       |
      | 4    | 0   | doesn't go to |
      | 6    | 7   | goes to       |
      | 8    | 7   | doesn't go to |

  Scenario Outline: With summaries, a local endpoint is preferred while a slot is free
    A burst may have filled the other data centre's endpoints since its last summary.

    Given the other data centre's loads come as summaries
    And "near" runs <near> online requests, and each other endpoint <far>
    Then the next request <where> "near"

    Examples:
      | near | far | where         |
      | 4    | 0   | goes to       |
      | 7    | 0   | goes to       |
      | 8    | 0   | doesn't go to |
