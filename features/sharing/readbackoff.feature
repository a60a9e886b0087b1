Feature: A host keeps reading the store at bounded intervals however long it is away

  A pause that is a power of the number of failures overflows after about 7 minutes:
  every read then ended the follower's task, and was repeated five times a second.

  Scenario Outline: Pauses stay bounded through an outage of any length
    Given a host of rank <rank> among <hosts> whose reads of the store fail
    When 5000 reads have failed in a row
    Then its next pause is <least> to <most> s
    And one success ends the pauses

    Examples:
      | rank | hosts | least | most |
      | 0    | 88    | 0.375 | 0.5  |
      | 9    | 12    | 0.375 | 0.5  |
      | 9    | 88    | 1.65  | 2.2  |
