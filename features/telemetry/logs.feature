Feature: Logs never hold a host up, and their volume is bounded

  Scenario: A reader that has stopped costs lines, not time
    Given a log whose reader has stopped
    When 20000 lines are logged
    Then logging went on, and the lines that were left out are counted
    When the reader reads again and a warning is logged
    Then every line that was read is whole JSON
    And one line tells how many were left out

  Scenario: A burst of ordinary lines is cut, warnings are not
    Given a log whose reader keeps up
    When 5000 ordinary lines and 50 warnings are logged at once
    Then at most 1000 ordinary lines were written, and all 50 warnings
