Feature: the pages keep to what is there

  Scenario: the settings reference is up to date
    Then "docs/settings.md" is what "report settings" prints

  Scenario: the table of promises has no empty line
    Then each line of "docs/promises.md" names features that exist, a section of the measurements, or says that it is not proved

  Scenario: each figure on the capacity page names its run
    Then each line of figures of "docs/CAPACITY.md" names a run, or says that it is not measured
