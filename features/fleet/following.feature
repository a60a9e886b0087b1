Feature: A host follows the platform's store through outages

  Scenario: Entries whose leases expired during an outage are kept for 2 s after it
    Given a directory that knows the endpoints "e1, e2"
    When the store is lost and regained, and the entry of "e1" is missing
    Then the directory knows "e1, e2"
    When 1.9 s pass and "e1" writes its entry again
    And 5 s pass
    Then the directory knows "e1, e2"

  Scenario: An entry that is still missing 2 s after an outage is removed
    Given a directory that knows the endpoints "e1, e2"
    When the store is lost and regained, and the entry of "e1" is missing
    And 2.1 s pass
    Then the directory knows "e2"

  Scenario: A second outage doesn't keep a missing entry longer
    Given a directory that knows the endpoints "e1, e2"
    When the store is lost and regained, and the entry of "e1" is missing
    And 1.5 s pass
    And the store is lost and regained, and the entry of "e1" is missing
    And 0.6 s pass
    Then the directory knows "e2"

  Scenario: The digest shows that an entry is missing although it is kept
    Given a directory that knows the endpoints "e1, e2"
    And its digest is recorded
    When the store is lost and regained, and the entry of "e1" is missing
    Then the directory knows "e1, e2"
    And its digest differs from the recorded one
    When 1.9 s pass and "e1" writes its entry again
    Then its digest equals the recorded one

  Scenario: An entry that is deleted without an outage is removed at once
    Given a directory that knows the endpoints "e1, e2"
    When the entry of "e1" is deleted
    Then the directory knows "e2"

  Scenario: An endpoint that announced leaving is not kept after an outage
    Given a directory that knows the endpoints "e1, e2"
    When "e1" announces that it is leaving
    And the store is lost and regained, and the entry of "e1" is missing
    Then the directory knows "e2"

  Scenario: An invalid entry adds no endpoint
    Given a directory that knows the endpoints "e1"
    When these entries are written
      | name | entry                                                          |
      | e2   | not json                                                       |
      | e3   | {"service":"llm","address":"192.0.2.1","slots":8,"state":"ready"} |
      | e4   | {"service":"llm","address":"192.0.2.1:8","slots":"8","state":"ready"} |
      | e5   | {"service":"llm","address":"192.0.2.1:8","slots":8,"state":"asleep"} |
      | e6   | {"service":7,"address":"192.0.2.1:8","slots":8,"state":"ready"} |
      | e7   | []                                                             |
      | e8   | {"address":"192.0.2.1:8","slots":8,"state":"ready"}            |
    Then the directory knows "e1"

  Scenario: A compacted history makes the follower read everything again
    Given a follower of a prefix that has 2 items
    When the store compacts its history and "a" changes meanwhile
    Then the follower has the new value of "a"

  Scenario: A configuration older than the one in force is ignored
    Given a host with configuration 7 in force
    When it reads configuration 6
    Then configuration 7 is in force
    When it reads configuration 8
    Then configuration 8 is in force

  Scenario: An invalid configuration is ignored
    Given a host with configuration 7 in force
    When it reads a configuration without routes
    Then configuration 7 is in force

  Scenario: The digest doesn't depend on entries that were deleted
    Given a host that has read the entries
      | key         | revision |
      | op/config   | 5        |
      | op/retire/x | 9        |
    When it reads the entries
      | key       | revision |
      | op/config | 5        |
    Then its digest is that of these entries

  Scenario: The digest differs if one entry has changed
    Given a host that has read the entries
      | key         | revision |
      | op/config   | 5        |
      | op/retire/x | 9        |
    Then its digest is not that of the entries
      | key         | revision |
      | op/config   | 7        |
      | op/retire/x | 9        |

  Scenario Outline: A version that another host has read is read from the store's copy, if it is there
    Given a follower that shares its copy, and has read "old"
    When another host has read "new", and the store's copy has "<copied>"
    Then the follower has "new", after these reads: <reads>
    And it reports that <origin> confirmed its copy

    Examples:
      | copied | reads          | origin           |
      | new    | copy           | the other's read |
      | old    | copy, snapshot | its own read     |

  Scenario: A version reported while another is read is not taken as read
    Given a follower that shares its copy, and has read "old"
    When another host has read "new", and a third reports "newest" while the store's copy is read
    Then the follower has "new", after these reads: copy
    And it reports "new" to the other hosts
    And it reads again after 0.3 s

  Scenario: A copy that is confirmed while an older version is read is kept
    Given a follower that shares its copy, and has read "old"
    When another host has read "new", and a third reports "old" while the store's copy is read
    Then the follower has "old", after these reads: copy, snapshot
    And it reports "old" to the other hosts

  Scenario: A copy that no host has confirmed for too long is read from the newest state
    Given a follower that shares its copy, and has read "old"
    When no host has read for 2 s, and then the store has "new"
    Then the follower has "new", after these reads: snapshot

  # A host that reads only in its turn may meet no failure of its own in an outage.
  Scenario Outline: Whether entries may be missing follows from the time without a read
    Given a follower that shares its copy, and has read "old"
    When no host has read for <seconds> s, and then the store has "new"
    Then it <took> the entries for those after an outage

    Examples:
      | seconds | took |
      | 1.2     | did not take |
      | 3       | took |

  # Else an endpoint that was removed meanwhile would be used for 2 s more.
  Scenario: A host that was suspended takes what it reads then as it is
    Given a follower that shares its copy, and has read "old"
    When its process is suspended for 3 s, and the store has "new"
    Then it did not take the entries for those after an outage
