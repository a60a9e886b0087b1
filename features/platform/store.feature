Feature: The client of the platform's store, against a stand-in of ours

  Background:
    Given the platform's store alone

  Scenario: What was written is read, listed in pages, and watched
    When 12 keys are written
    Then each can be read, and all are listed in order
    And the changes after the first revision name all 12

  Scenario: A condition that fails tells what is there
    When 12 keys are written
    Then a write that expects the first key to be absent changes nothing and shows it

  Scenario: Leases live while they are renewed, and take their keys with them
    When a key is written on a lease, renewed once, and the lease is ended
    Then the key is gone, and a renewal is refused as lapsed

  Scenario Outline: What a failure says of a write
    Given the platform's store <trouble>
    Then a write fails as "<failure>", and a read as "StoreUnavailableError"

    Examples:
      | trouble             | failure                |
      | answers 503         | StoreUnavailableError  |
      | answers 429         | StoreUnavailableError  |
      | answers 500         | StoreLostAnswerError   |
      | never answers       | StoreLostAnswerError   |

  Scenario: A history that is gone is told as such
    When 12 keys are written
    And the store drops its history
    Then changes after the first revision are refused as "StoreCompactedError"

  Scenario: A copy that is old hides no key that is written only once
    When 12 keys are written
    And the store's copy stays as it is, and the key "k/late" is written
    Then a copy of the prefix shows 12 keys, and the newest state 13
    And "k/late" is found as a constant, and so is the first key from the copy alone
