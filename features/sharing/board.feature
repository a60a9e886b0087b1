Feature: Other hosts' reports are summed incrementally
  Dozens of hosts report several times a second, and each request chooses among
  dozens of endpoints.

  Scenario: The sums are those of all fresh reports, while reports arrive and expire
    Given a report table that merges 3000 reports of 57 hosts at 30 endpoints in random order
    Then after each report its sums were those of the reports that were fresh

  Scenario: A choice among many endpoints doesn't add up all reports
    Given a report table with reports of 57 hosts that use 57 endpoints each
    When one of all 57 endpoints is chosen
    Then no report was read for the choice
