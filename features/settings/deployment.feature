Feature: The deployment that the README shows is valid

  Scenario: Base file, three overlays and a host's file
    Then the deployment's base file and its 3 overlays pass config check
    And the deployment's host file is read without a mistake
