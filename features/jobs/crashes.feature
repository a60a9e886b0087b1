Feature: An item under which endpoints crashed is still owed, and is run again soon
  It was handed in for later: it is no request that crashes endpoints by itself.

  # Reported in issue 24: items were never placed again after three crashes.
  Scenario: Three endpoints crashed under an item that was getting on
    Given an item under which endpoints crash after an event
    When 3 of its runs have ended so, and all is calm
    Then it is run again within 2.1 s, and done

  Scenario: Many endpoints crashed under an item before its first event
    Given an item under which endpoints crash
    When 12 of its runs have ended so, and all is calm
    Then it is run again within 2.1 s, and done

  Scenario: Many endpoints did not take an item
    Given an item that no endpoint takes
    When 12 of its runs have ended so, and all is calm
    Then it is run again within 2.1 s, and done

  Scenario: An item under which endpoints crash after an event is run ever more rarely
    Given an item under which endpoints crash after an event
    When its runs go on for 20 s
    Then it has run at least 10 times and at most 25 times

  Scenario: An item under which endpoints crash at once is run ever more rarely
    Given an item under which endpoints crash
    When its runs go on for 20 s
    Then it has run at least 10 times and at most 25 times

  Scenario: A sound item that ran for long between two crashes waits but a moment
    Given an item under which endpoints crash after 4 s
    When 6 of its runs have ended so, and all is calm
    Then it is run again within 0.25 s, and done

  Scenario: Items of endpoints that crashed together don't all come back together
    Given 40 items under which endpoints crash
    When each has been run twice
    Then at most 20 of them are run again at the same moment
