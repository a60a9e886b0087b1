Feature: A host that reads what another has read takes nothing else for read

  Scenario: A still newer copy that is told of meanwhile isn't taken for read
    Given a host that has read version 1 of a prefix
    When another host tells that it has read version 2
    And another host tells of version 3, while the store's copy with version 2 is read
    Then the host tells of no version that it hasn't read
    And it comes to have version 3
