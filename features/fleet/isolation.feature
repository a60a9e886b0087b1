Feature: A partitioned data centre sends callers elsewhere
  Its hosts can run requests only at the endpoints of their data centre, and accept no
  jobs. Callers still reach them.

  Background:
    Given a host in "a", and other hosts in "a, b, b, c"

  Scenario Outline: Reports and the age of the copies decide
    When hosts in "<reporting>" report, and its copies of the store are <age> s old
    Then its data centre <is> partitioned

    Examples:
      | reporting | age | is     |
      | a, b, c   | 0.5 | is not |
      | a, c      | 9.0 | is not |
      | a         | 0.5 | is not |
      | a         | 1.5 | is     |
      |           | 1.5 | is     |

  Scenario: A data centre that has all hosts is never partitioned
    Given a host in "a", and other hosts in "a, a"
    When hosts in "" report, and its copies of the store are 9.0 s old
    Then its data centre is not partitioned
