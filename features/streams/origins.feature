Feature: Which software version a stream is resumed at
  Decided without a network: from memory, from what versions there are, or from records.

  Scenario Outline: A stream that this host doesn't know, of a service that has <versions>
    Given a host that has read which versions there were
    And endpoints of the versions "<versions>"
    When a caller resumes the stream "s1"
    Then <outcome>

    Examples:
      | versions | outcome                          |
      | v1       | it goes on at "v1"               |
      | v1, v2   | it is refused, and may come back |

  Scenario: A host that doesn't know yet which versions there were doesn't guess
    Given a host that has just started
    And endpoints of the versions "v2"
    And all reads of the store fail
    When a caller resumes the stream "s1"
    Then it is refused, and may come back

  Scenario: A version that has left is possible for a minute
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    When a caller resumes the stream "s1"
    And endpoints of the versions "v2" take the place of all others
    And a caller resumes the stream "s2"
    Then it is refused, and may come back
    When 61 s pass
    And a caller resumes the stream "s3"
    Then it goes on at "v2"

  Scenario: A stream that this host has begun goes on at its version
    Given a host that has read which versions there were
    And endpoints of the versions "v1, v2"
    When the stream "s1" begins at "v1"
    And a caller resumes the stream "s1"
    Then it goes on at "v1"

  Scenario: A stream that another host of the data centre told of goes on at its version
    Given a host that has read which versions there were
    And endpoints of the versions "v1, v2"
    When another host tells that the stream "s1" began at "v2"
    And a caller resumes the stream "s1"
    Then it goes on at "v2"

  Scenario: A stream in another host's record goes on at its version
    Given a host that has read which versions there were
    And endpoints of the versions "v1, v2"
    When another host has recorded that the stream "s1" began at "v2"
    And a caller resumes the stream "s1"
    Then it goes on at "v2"

  Scenario: Many callers that resume at once cost a few reads
    Given a host that has read which versions there were
    And endpoints of the versions "v1, v2"
    When 50 callers resume unknown streams at the same time
    Then the records were read at most 3 times

  Scenario: A store that doesn't answer holds nobody up for long
    Given a host that has read which versions there were
    And endpoints of the versions "v1, v2"
    And reads of the records get no answer
    When a caller resumes the stream "s1"
    Then it is refused, and may come back

  Scenario: A route that leads to another service now doesn't mix the two
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    When the stream "s1" begins at "v1"
    And the route leads to the service "other"
    And a caller resumes the stream "s1"
    Then it is refused, and may come back

  Scenario: Streams of a route that leads to two services are told apart
    Given a host that has read which versions there were
    And endpoints of the versions "v1"
    And endpoints of the service "other"
    When the route leads to both services
    And a caller resumes the stream "s1"
    Then it is refused, and may come back

  Scenario: A request that begins a stream isn't bound to a version
    Given a host that has read which versions there were
    And endpoints of the versions "v1, v2"
    When a caller begins a stream
    Then it may run anywhere
