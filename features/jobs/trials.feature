Feature: Items with a part that has crashed endpoints are run on trial now and then
  Nothing else would show that the part is sound, or that endpoints have been mended.

  # Guards against items that are neither run nor given up (LOST).
  Scenario: Each of two items is run again within 20 s, while the part has few crashes
    Given 2 items at "a" whose prompts share a part that crashes endpoints
    And the part has crashed 4 endpoints
    When 45 s pass for the items
    Then each of them has failed within the last 20 s
    When 60 s pass for the items
    Then 2 crashes were later than 3 s after the fifth

  Scenario: Trials of several hosts' items don't exceed the crashes that are allowed
    Given 4 items at "a, b, c" whose prompts share a part that crashes endpoints
    And the part has crashed 5 endpoints
    When 100 s pass for the items
    Then 2 crashes were later than 3 s after the fifth

  Scenario: The first answer lets go of all items with the part
    Given 3 items at "a, b" whose prompts share a part that is sound
    And the part has crashed 4 endpoints
    When 24 s pass for the items
    Then all items are done, and the part has crashed 4 endpoints

  Scenario: No trial begins while another host's is under way
    Given 1 items at "a" whose prompts share a part that is sound
    And the part has crashed 4 endpoints
    And a trial of the part is under way elsewhere
    When 40 s pass for the items
    Then no item has been run
    When the trial elsewhere has ended
    And 3 s pass for the items
    Then all items are done, and the part has crashed 4 endpoints

  Scenario Outline: An item is tried although the write of a trial's lock is <fate>
    Given 1 items at "a" whose prompts share a part that is sound
    And the part has crashed 4 endpoints
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
    And the part has crashed 4 endpoints
    And the items' store is away
    When 40 s pass for the items
    Then no item has been run
    When the items' store is back
    And 3 s pass for the items
    Then all items are done, and the part has crashed 4 endpoints
