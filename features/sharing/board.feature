Feature: What other hosts report is added up as it comes
  Dozens of hosts report several times a second, and each request chooses among
  dozens of endpoints.

  Scenario: The sums are those of all fresh reports, whatever comes and ends
    Given a board that takes 3000 reports of 57 hosts at 30 endpoints in random order
    Then after each report its sums were those of the reports that were fresh

  Scenario: A choice among many endpoints adds up no reports
    Given a board that has heard 57 hosts that use 57 endpoints each
    When an endpoint is chosen of all 57
    Then no report was looked at for it
