Feature: load is made from a seed and measured without leaving out stalls

  Scenario: arrivals depend on plan and seed alone
    Given a load plan of two accounts at 50 and 5 requests a second for 20 seconds
    Then its arrivals are the same each time, and others for another seed
    And the accounts' counts are within a fifth of 1000 and 100
    And changing one account leaves the other's arrivals as they were

  Scenario Outline: <arrivals> arrivals keep their mean rate
    Given a load plan with "<arrivals>" arrivals of 40 a second for 60 seconds
    Then its count is within a tenth of 2400

    Examples:
      | arrivals |
      | poisson  |
      | even     |
      | bursts   |

  Scenario: skewed and moving traffic reaches the planned hosts
    Given a load plan with all traffic of an account on one host, moving every 5 seconds
    Then each arrival's host follows from its time

  Scenario: a stall is charged to every request that was to start in it
    Given a platform, an engine in each data centre, and a service
    And a host in each data centre
    And a key of the client account "desk"
    When load runs at 20 requests a second for 3 seconds while the engines hang for 2 seconds
    Then all its requests are answered
    And at least a third of them took longer than half a second, counted from their intended start
    And the engines started each request once

  Scenario: jobs of the plan run to their end
    Given a platform, an engine in each data centre, and a service
    And a host in each data centre
    And a key of the client account "desk"
    When load submits 2 jobs of 6 items
    Then both jobs end with all items done
