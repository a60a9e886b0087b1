Feature: A host denies what its copy lacks only while the copy is recent enough

  Background:
    Given a host with a copy of the operators' entries

  Scenario Outline: The age of the copy at the time of the request decides
    When a request asks for something that its copy, <age> s old, lacks
    Then the certainty that it is absent is "<certainty>"

    Examples:
      | age | certainty |
      | 0.9 | certain   |
      | 1.5 | bounded   |
      | 2.5 | none      |

  Scenario: A request that has waited is decided by its time of arrival
    When a request asks for something that its copy, 0.9 s old, lacks
    And 5 s pass after the request
    Then the certainty that it is absent is "certain"

  Scenario: An old copy is read again at once, and a new entry is found
    Given its copy is 9 s old, and the store has configuration 2
    When 20 requests ask for something that it lacks
    Then none of them was refused, and configuration 2 is in force
    And the store was read 1 time

  Scenario: A recent copy is not read again for a request
    Given its copy is 0.9 s old, and the store has configuration 2
    When 20 requests ask for something that it lacks
    Then none of them was refused, and configuration 1 is in force
    And the store was read 0 times

  Scenario: A lost store is read at most twice a second
    Given its copy is 9 s old, and the store is lost
    When 20 requests ask every 0.125 s, for 5 s, for something that it lacks
    Then all of them were refused as "configuration_stale", not run, with a time to retry after
    And the store was read 10 times

  Scenario: A store that doesn't respond delays requests for a limited time
    Given its copy is 9 s old, and the store doesn't respond
    When 20 requests ask for something that it lacks
    Then all of them were refused as "configuration_stale", not run, with a time to retry after
    And the store was read 1 time

  Scenario: A copy confirmed 1.5 s ago has all that must be in force, also without the store
    Given its copy is 1.5 s old, and the store is lost
    When 20 requests ask for something that it lacks
    Then none of them was refused, and configuration 1 is in force
