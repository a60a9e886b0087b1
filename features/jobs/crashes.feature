Feature: An item whose endpoints crashed still gets its result, and is run again soon
  Unlike an online request, an item is not quarantined as the cause of the crashes.

  # Issue 24: items were never placed again after three crashes.
  Scenario: Three endpoints crash while they run an item that makes progress
    Given an item whose endpoints crash after an event
    When 3 of its runs have failed, and endpoints no longer fail
    Then it is run again within 2.1 s, and completes

  Scenario: Many endpoints crash before an item's first event
    Given an item whose endpoints crash
    When 12 of its runs have failed, and endpoints no longer fail
    Then it is run again within 2.1 s, and completes

  Scenario: Many endpoints refuse an item
    Given an item that each endpoint refuses
    When 12 of its runs have failed, and endpoints no longer fail
    Then it is run again within 2.1 s, and completes

  Scenario: An item whose endpoints crash after an event is run again at growing intervals
    Given an item whose endpoints crash after an event
    When it is run again and again for 20 s
    Then it has run at least 10 times and at most 25 times

  Scenario: An item whose endpoints crash at once is run again at growing intervals
    Given an item whose endpoints crash
    When it is run again and again for 20 s
    Then it has run at least 10 times and at most 25 times

  Scenario: An item that ran for seconds before each crash is run again after a short delay
    Given an item whose endpoints crash after 4 s
    When 6 of its runs have failed, and endpoints no longer fail
    Then it is run again within 0.25 s, and completes

  Scenario: Items whose endpoints crashed together are not all run again together
    Given 40 items whose endpoints crash
    When each has been run twice
    Then at most 20 of them are run again at the same moment

  Scenario: An item isn't run while a part of its prompt is quarantined
    Given an item whose prompt shares the parts "a, b"
    And 3 endpoints have crashed at requests with these parts
    And others went on meanwhile without these parts
    When it is run again and again for 16 s
    Then it has run at least 0 times and at most 0 times
    When the quarantine has ended after 600 s
    Then it is run again within 2.1 s, and completes

  Scenario Outline: An item whose resumed run ends with no event, <framing>, isn't done too early
    Given an item that has received 2 events
    And an endpoint whose answer ends with no event, <framing>, then one that runs items
    When its runs have ended
    Then its text is that of the events "<events>"

    Examples:
      | framing         | events |
      | framed as whole | 1, 2   |
      | with no length  | 1      |
