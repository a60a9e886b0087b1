Feature: The demo shows a fleet under failures, and verifies what it shows

  Scenario: Everything holds
    When the demo runs with 200 items
    Then it ends with 0 and one line of JSON in which 8 checks held

  Scenario: Something does not hold
    When the demo runs and a check does not hold
    Then it ends with 1 and says so in its JSON

  Scenario: A demo that breaks off holds nothing
    When a part of the demo fails by itself
    Then the demo fails
