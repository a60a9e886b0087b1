Feature: The platform's names stay in the adapter

  Scenario: No other part of the product names a header, call, key or field of the platform
    Then the words that only the platform uses stand in "mangogauge/platform" alone
    And the adapter has at most a twentieth of the product's lines
