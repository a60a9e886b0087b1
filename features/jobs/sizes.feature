Feature: What a job's items write is held to the store's limits on a value
  Results that are ready together were written as one value. Where they were larger
  than a value, the store refused them, the same write was sent again for ever, and
  no result of the job was listed any more.

  Background:
    Given a store with history, and two hosts that accept jobs
    And the job "j1" of 3 items is open
    And the store takes values of 100,000 bytes
    And the first host has claimed "j1"

  # Guards against results that together exceed a value and are never listed (LOST).
  Scenario: Results that together exceed a value are listed, without any outage
    When items 0, 1 and 2 end at the first host with 60,000 bytes each
    And the first host writes its jobs' progress
    Then each value in the store has at most 100,000 bytes
    And the store refused nothing
    And a reader at each host reads the items 0, 1, 2 from position 0, whole
    And "j1" is closed

  # Guards against the same once an outage is over.
  Scenario: Results that gather while the store is away are listed once it is back
    Given the store of jobs is unavailable
    When items 0, 1 and 2 end at the first host with 60,000 bytes each
    And the first host writes its jobs' progress
    And the store of jobs is available again
    And the first host writes its jobs' progress again, later
    Then a reader at each host reads the items 0, 1, 2 from position 0, whole
    And "j1" is closed

  # Guards against one result that is larger than a value by itself and blocks its job.
  Scenario Outline: A result that is larger than a value is listed whole
    When items 0, 1 and 2 end at the first host with <size> bytes each
    And the first host writes its jobs' progress
    Then each value in the store has at most 100,000 bytes
    And a reader at each host reads the items 0, 1, 2 from position 0, whole
    And a reader at each host reads the items 1, 2 from position 1, whole
    And "j1" is closed

    Examples:
      | size    |
      | 99,999  |
      | 100,000 |
      | 350,000 |

  # Guards against texts that only exceed a value once they are encoded.
  Scenario: A text that grows by its encoding is listed whole
    When item 0 ends at the first host with 60,000 control characters
    And the first host writes its jobs' progress
    Then each value in the store has at most 100,000 bytes
    And a reader at each host reads the items 0 from position 0, whole

  Scenario: The claim is lost between two pieces of a result
    When items 0, 1 and 2 end at the first host with 350,000 bytes each
    And the claim on "j1" is lost to the second host after 2 writes of the first
    And items 2, 1 and 0 end at the second host with 350,000 bytes each
    And the second host writes its jobs' progress
    And the late writes take effect
    Then a reader at each host reads the items 2, 1, 0 from position 0, whole
    And "j1" is closed

  Scenario: The answers of writes are lost while results are written in several
    Given each of the next 2 writes is lost after it took effect
    When items 0, 1 and 2 end at the first host with 350,000 bytes each
    And the first host writes its jobs' progress
    And the first host writes its jobs' progress again, later
    And the first host writes its jobs' progress again, later
    Then a reader at each host reads the items 0, 1, 2 from position 0, whole
    And "j1" is closed

  Scenario: The next host counts on from results that were written in pieces
    When items 0 and 1 end at the first host with 350,000 bytes each
    And the first host writes its jobs' progress
    And its lease lapses, and the second host claims "j1"
    And item 2 ends at the second host with 10 bytes
    And the second host writes its jobs' progress
    Then a reader at each host reads the items 0, 1, 2 from position 0, whole
    And "j1" is closed

  # Guards against a write that no repetition can make succeed, sent again for ever.
  Scenario: The store refuses values that by its limits it should take
    Given the store refuses values of more than 70,000 bytes without having said so
    And the limits that hosts know are 400,000 bytes
    When items 0, 1 and 2 end at the first host with 60,000 bytes each
    And the first host writes its jobs' progress again and again for 30 s
    Then a reader at each host reads the items 0, 1, 2 from position 0, whole
    And the store refused at most 4 writes, and each was counted

  Scenario: One job whose results are refused doesn't hold up another
    Given the store refuses all results of "j1"
    And the first host has also claimed the job "j2" of 3 items
    When items 0, 1 and 2 end at the first host with 10 bytes each
    And the items of "j2" end at the first host with 10 bytes each
    And the first host writes its jobs' progress again and again for 30 s
    Then a reader at each host reads all items of "j2"
    And the store refused at most 8 writes, and each was counted

  Scenario: Progress is held to the limits once it is encoded
    When item 1 receives 90,000 control characters at the first host
    And item 2 receives 4 events at the first host
    And the first host writes a checkpoint
    Then the store refused nothing

  Scenario Outline: A job that the store can't hold is refused at once
    When "desk" submits a job with <what>
    Then it is refused with 413 at the first attempt

    Examples:
      | what                                     |
      | a body of 150,000 bytes                  |
      | header fields of 150,000 bytes in all    |
