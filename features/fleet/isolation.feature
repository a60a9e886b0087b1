Feature: A data centre that is cut off sends callers elsewhere
  The hosts there can run requests at the endpoints of their data centre only, and
  take no jobs. Callers reach them all the same.

  Background:
    Given a host in "a", and other hosts in "a, b, b, c"

  Scenario Outline: What the host hears decides
    When it hears hosts in "<heard>", and its copies of the store are <age> s old
    Then its data centre <is> cut off

    Examples:
      | heard   | age | is     |
      | a, b, c | 0.5 | is not |
      | a, c    | 9.0 | is not |
      | a       | 0.5 | is not |
      | a       | 1.5 | is     |
      |         | 1.5 | is     |

  Scenario: A data centre that has all hosts is never cut off from others
    Given a host in "a", and other hosts in "a, a"
    When it hears hosts in "", and its copies of the store are 9.0 s old
    Then its data centre is not cut off
