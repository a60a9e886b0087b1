Feature: A host that reads the copy another host has read reports no other version as read

  Scenario: A still newer version that is reported during the read is not taken as read
    Given a host that has read version 1 of a prefix
    When another host reports that it has read version 2
    And another host reports version 3 while the store's copy with version 2 is read
    Then the host reports no version that it has not read
    And it reads version 3 later
