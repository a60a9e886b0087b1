Feature: Items with a part that has crashed endpoints are run on trial now and then
  Nothing else would show that the part is sound, or that endpoints have been mended.

  # Guards against items that are neither run nor given up (LOST).
  Scenario: Each of two items is run again within 20 s, while the part has few crashes
    Given 2 items at "a" whose prompts share a part that crashes endpoints
    And the part has crashed 4 endpoints, while others went on without it
    When 45 s pass for the items
    Then each of them has failed within the last 20 s
    When 60 s pass for the items
    Then 2 crashes were later than 3 s after the fifth

  Scenario: Trials of several hosts' items don't exceed the crashes that are allowed
    Given 4 items at "a, b, c" whose prompts share a part that crashes endpoints
    And the part has crashed 5 endpoints, while others went on without it
    When 100 s pass for the items
    Then 2 crashes were later than 3 s after the fifth

  Scenario: The first answer lets go of all items with the part
    Given 3 items at "a, b" whose prompts share a part that is sound
    And the part has crashed 4 endpoints, while others went on without it
    When 24 s pass for the items
    Then all items are done, and the part has crashed 4 endpoints

  Scenario: No trial begins while another host's is under way
    Given 1 items at "a" whose prompts share a part that is sound
    And the part has crashed 4 endpoints, while others went on without it
    And a trial of the part is under way elsewhere
    When 40 s pass for the items
    Then no item has been run
    When the trial elsewhere has ended
    And 3 s pass for the items
    Then all items are done, and the part has crashed 4 endpoints

  Scenario Outline: An item is tried although the write of a trial's lock is <fate>
    Given 1 items at "a" whose prompts share a part that is sound
    And the part has crashed 4 endpoints, while others went on without it
    And the store's next write is <fate>
    When 24 s pass for the items
    Then all items are done, and the part has crashed 4 endpoints

    Examples:
      | fate                         |
      | lost before it took effect   |
      | lost after it took effect    |
      | lost, and takes effect later |

  Scenario: No item is tried while the store is away, and again when it is back
    Given 1 items at "a" whose prompts share a part that is sound
    And the part has crashed 4 endpoints, while others went on without it
    And the items' store is away
    When 40 s pass for the items
    Then no item has been run
    When the items' store is back
    And 3 s pass for the items
    Then all items are done, and the part has crashed 4 endpoints

  # Guards against sound items that lie for 17 s after a crash of all endpoints (LOST).
  Scenario Outline: A sound part is let go soon after a crash of all endpoints
    Given <items> items at "a, b" whose prompts share a part that is sound
    And the part was at the crash of all 6 endpoints
    When 3 s pass for the items
    Then all items are done, and the part has crashed 6 endpoints

    Examples:
      | items |
      | 1     |
      | 80    |

  Scenario: All endpoints crash again while a sound part is on trial
    Given 20 items at "a, b" whose prompts share a part that is sound
    And the part was at the crash of all 6 endpoints
    When 1 s pass for the items
    And all 6 endpoints crash again at the part
    And 11 s pass for the items
    Then all items are done, and the part has crashed 12 endpoints

  # The other side: a harmful part that was at the crash of all endpoints (BUDGET).
  Scenario Outline: A harmful part that was at the crash of all endpoints is tried seldom
    Given <items> items at "a, b, c" whose prompts share a part that crashes endpoints
    And the part was at the crash of all <count> endpoints
    When 100 s pass for the items
    Then 2 crashes were later than 3 s after the fifth

    Examples:
      | items | count |
      | 1     | 3     |
      | 40    | 6     |

  # Guards against trials beyond those that are allowed where hosts miss crashes.
  Scenario: Trials whose crashes no host has noted count
    Given 4 items at "a, b" whose prompts share a part that crashes endpoints
    And the part was at the crash of all 6 endpoints
    And no host notes further crashes
    When 100 s pass for the items
    Then 3 trials have been made at most

  # Guards against a part that is never tried again since its lock stays.
  Scenario: A trial ends while its lock is written
    Given 1 items at "a" whose prompts share a part that is sound
    And the part was at the crash of all 6 endpoints
    When 1 s pass for the items
    And a trial of it is cancelled while its lock is written
    Then no lock is left, and another trial may begin
