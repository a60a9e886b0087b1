Feature: A host that is out of step doesn't take an unknown stream for one of the only version
  It was cut off, or stood still, while endpoints of another version joined. Streams that
  these began through other hosts would go on at the only version that it knows.

  Scenario Outline: A host whose copy of the endpoints is <age> s old
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    And its copy of the endpoints is <age> s old, and the store has "v1, v2"
    When a caller resumes the stream "s1"
    Then <outcome>
    And the endpoints' entries were read <reads> times

    Examples:
      | age | reads | outcome                          |
      | 1.2 | 0     | it goes on at "v1"               |
      | 1.3 | 1     | it is refused, and may come back |
      | 600 | 1     | it is refused, and may come back |

  Scenario: Another host is known to have a newer copy
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    And its copy of the endpoints is 0.5 s old, and the store has "v1, v2"
    And another host has a newer copy, read 0.1 s ago
    When a caller resumes the stream "s1"
    Then it is refused, and may come back

  Scenario: A stream of the version that this host has missed goes on there
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    And its copy of the endpoints is 5 s old, and the store has "v1, v2"
    When another host has recorded that the stream "s1" began at "v2"
    And a caller resumes the stream "s1"
    Then it goes on at "v2"

  Scenario: Endpoints that a read for a request has shown can serve it at once
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    And its copy of the endpoints is 5 s old, and the store has "v1, v2"
    When another host has recorded that the stream "s1" began at "v2"
    And a caller resumes the stream "s1"
    Then it goes on at "v2"
    And it knows endpoints of the versions "v1, v2"

  Scenario: A read for a request that is older than the copy doesn't change the copy
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    And its copy of the endpoints is 5 s old, and the store has "v1, v2"
    When a caller resumes the stream "s1", and the copy is confirmed meanwhile
    Then it knows endpoints of the versions "v1"

  Scenario: Nothing has changed, so that streams go on after one read
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    And its copy of the endpoints is 5 s old, and the store has "v1"
    When 50 callers resume unknown streams at the same time
    Then all of them go on at "v1"
    And the endpoints' entries were read 1 time

  Scenario Outline: All reads of the store <trouble>
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    And its copy of the endpoints is 5 s old, and the store has "v1"
    And all reads of the store <trouble>
    When 50 callers resume unknown streams at the same time
    Then all of them are refused, and may come back
    When a caller resumes the stream "s1"
    Then it is refused, and may come back
    And the endpoints' entries were read 1 time

    Examples:
      | trouble       |
      | fail          |
      | get no answer |

  Scenario: A stream that another host of the data centre told of needs no store
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    And its copy of the endpoints is 5 s old, and the store has "v1"
    And all reads of the store fail
    When another host tells that the stream "s1" began at "v1"
    And a caller resumes the stream "s1"
    Then it goes on at "v1"

  Scenario: A host that is told of a version that it doesn't know doesn't guess
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    When another host tells that the stream "s1" began at "v2"
    And a caller resumes the stream "s2"
    Then it is refused, and may come back

  Scenario Outline: A version that came and left while the host missed <seconds> s
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    When a caller resumes the stream "s1"
    And <seconds> s pass, and its copy was confirmed 0.1 s ago
    And the record of versions holds "v1, v2"
    And a caller resumes the stream "s2"
    Then <outcome>

    Examples:
      | seconds | outcome                          |
      | 1       | it goes on at "v1"               |
      | 6       | it is refused, and may come back |

  Scenario: A host that has just started reads which versions there were
    Given a host that has just started
    And endpoints of the versions "v2"
    And its copy of the endpoints is 0.5 s old, and the store has "v2"
    When the record of versions holds "v1, v2"
    And a caller resumes the stream "s1"
    Then it is refused, and may come back

  Scenario: An item whose progress doesn't say its version isn't bound to the only one
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    And its copy of the endpoints is 5 s old, and the store has "v1, v2"
    Then no version is known to be the only one
