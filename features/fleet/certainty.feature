Feature: What a host doesn't know it denies only while it knows the newest orders

  Background:
    Given a host that keeps a copy of the orders

  Scenario Outline: The copy's age at the request decides
    When a request asks for what its copy, <age> s old, doesn't have
    Then that it isn't there is <sureness>

    Examples:
      | age | sureness |
      | 0.9 | certain  |
      | 1.5 | bounded  |
      | 2.5 | none     |

  Scenario: A request that waited meanwhile is judged by when it came
    When a request asks for what its copy, 0.9 s old, doesn't have
    And 5 s pass after the request
    Then that it isn't there is certain

  Scenario: A copy that is old is read at once, and what it has now is found
    Given its copy is 9 s old, and the store has the configuration 2
    When 20 requests ask for what it doesn't have
    Then all of them may look again, in the configuration 2
    And the store was read 1 time

  Scenario: A copy that is new enough is not read for a request
    Given its copy is 0.9 s old, and the store has the configuration 2
    When 20 requests ask for what it doesn't have
    Then all of them may look again, in the configuration 1
    And the store was read 0 times

  Scenario: A store that doesn't answer is asked twice a second at most
    Given its copy is 9 s old, and the store is lost
    When 20 requests ask every 0.125 s, for 5 s, for what it doesn't have
    Then all of them were refused as "configuration_stale", not run, with when to come back
    And the store was read 10 times

  Scenario: A store that is silent holds no request up for long
    Given its copy is 9 s old, and the store is silent
    When 20 requests ask for what it doesn't have
    Then all of them were refused as "configuration_stale", not run, with when to come back
    And the store was read 1 time

  Scenario: A store lost a moment ago hides nothing that has to be in force
    Given its copy is 1.5 s old, and the store is lost
    When 20 requests ask for what it doesn't have
    Then all of them may look again, in the configuration 1
