Feature: A new build goes on with an old one's work and data
  MANGOGAUGE_OTHER_BUILD names the folder of the other build, which is "old" here.
  Where it isn't set, this tree is both builds, and these are plain rolling changes.

  Scenario: The new build takes the old one's settings files and recorded configuration
    Given the platform with 1 endpoints, "h1, r1" of the old build
    When "h1, r1" are replaced one after the other by the new build
    And the old build records a configuration of its own deployment
    Then config check prints the same of each of these in both builds
      | files                 |
      | the builders' base    |
      | the mistakes' base    |
      | the old build's files |
    And both builds show the same recorded configuration and history
    And the new build sees no difference from what the old one recorded
