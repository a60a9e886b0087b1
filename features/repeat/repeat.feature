Feature: Scenarios are run again and again to show how often they fail

  Scenario: The rate of a scenario that never fails
    When "--runs 3 --at-once 2 --busy 1" is asked for, of the scenarios named "may run anywhere"
    Then it prints "0 of 3 runs failed, 2 at once beside 1 busy" and ends with 0

  Scenario Outline: Wrong input is told
    When "<options>" is asked for, of the scenarios named "<name>"
    Then it tells "<problem>" and ends with 2

    Examples:
      | options    | name             | problem                     |
      | --runs 0   | may run anywhere | --runs must be from 1       |
      | --busy 999 | may run anywhere | --busy must be from 0       |
      | --seed -1  | may run anywhere | --seed must be from 0       |
      | --runs 1   | no such scenario | no scenario of              |
