Feature: A host that reads a version after another host reports only what it has read

  Scenario: A newer version that is reported during the read is not recorded as read
    Given a host that has read version 1 of a prefix
    When another host reports that it has read version 2
    And another host reports version 3 while the store's copy with version 2 is read
    Then the host reports no version that it has not read
    And it reads version 3 later
