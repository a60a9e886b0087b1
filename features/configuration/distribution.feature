Feature: An accepted configuration is in force everywhere and never reverts
  Real hosts in two data centres, every link of theirs behind the fault proxy.

  Background:
    Given a fleet whose hosts "a1 a2 b1" can be cut off

  Scenario: A change is in force on every host
    When an operator applies a changed configuration and waits
    Then the command says that version 2 is in force on "a1 a2 b1"

  Scenario: Of two operators who race each other one is told of the other
    When two operators apply changes made from version 1
    Then one has recorded version 2 and the other is shown the difference

  Scenario: A change whose answer is lost is recorded once
    When the platform loses the answer of the next write
    And an operator applies a changed configuration and waits
    Then the command says that version 2 is in force on "a1 a2 b1"

  Scenario: A rollback is a new version with the old files
    When an operator applies a changed configuration and waits
    And an operator rolls back to version 1
    Then version 3 with the files of version 1 is current

  Scenario: A bad configuration is refused before it is recorded
    When an operator applies a configuration with a mistake
    Then the command fails with code 3 and version 1 is current

  Scenario Outline: The relay of a data centre is <what>
    When the relay among "a1 a2" is <what>
    And an operator applies a changed configuration
    Then the other hosts have version 2 in force

    Examples:
      | what                      |
      | killed                    |
      | paused                    |
      | cut off from the platform |

  Scenario: A data centre cut off from the platform learns from its peers
    When host "b1" is cut off from the platform
    And an operator applies a changed configuration
    Then host "b1" has version 2 in force

  Scenario: A host restarted while the platform is away starts from its peers
    When an operator applies a changed configuration and waits
    And the platform goes down
    And host "a1" is killed and started again
    Then host "a1" has version 2 in force

  Scenario: A paused host that wakes goes on to the newest version
    When host "a1" is paused
    And an operator applies a changed configuration
    And host "a1" is resumed
    Then host "a1" has version 2 in force
