Feature: Hosts of two builds serve side by side
  MANGOGAUGE_OTHER_BUILD names the folder of the other build, which is "old" here.
  Where it isn't set, this tree is both builds.

  Scenario Outline: Hosts of the <first> and the <second> build serve requests and jobs
    Given the platform with 4 endpoints, "h1, r1" of the <first> build, "h2, r2" of the <second>
    When "desk" submits 6 jobs of 20 items to "h1" and "h2" in turn, and asks both for 60 streams
    Then each stream was answered whole, as its own
    And "r1" and "r2" both ran jobs
    And all results of each job can be read whole at "h1" and "h2"

    Examples:
      | first | second |
      | old   | new    |

  Scenario Outline: A <second> host hears from a <first> host that an endpoint leaves
    Given the platform with 2 endpoints, "h1" of the <first> build, "h2" of the <second>
    And "e1" answers that it is leaving, by a success
    And the store is away
    When "desk" asks "h1" for "/note/1" until "e1" has said so
    Then "h2" has heard from "h1" that "e1" leaves
    When "desk" asks "h2" 20 times for "/note/1"
    Then all were answered whole
    And these requests arrived at "e2"

    Examples:
      | first | second |
      | old   | new    |
      | new   | old    |

  Scenario Outline: A <first> and a <second> host count an input's crashes together
    Given the platform with 6 endpoints, "h1" of the <first> build, "h2" of the <second>
    And the endpoints answer "crash" to requests for "bad"
    When "desk" sends "bad" for "/ask/1" 8 times, to "h1" and "h2" in turn
    Then 3 endpoints have crashed, and the last answer is 422

    Examples:
      | first | second |
      | old   | new    |
      | new   | old    |

  Scenario Outline: Hosts of two builds serve beside an endpoint that announces a limit, <first> first
    A host drops what another one tells of limits if it doesn't know such messages, and reads all else.

    Given the platform with 3 endpoints, "h1" of the <first> build, "h2" of the <second>
    And a caller at each host asks for "/note/1" every 0.1 s
    When "e1" names the limit "2" for 6 s
    Then all that was asked was answered whole
    And "h1" and "h2" hear each other
    And no host dropped anything but news of limits, and none of the new build did

    Examples:
      | first | second |
      | old   | new    |
      | new   | old    |

  Scenario Outline: Hosts of two builds serve beside a cold endpoint, <first> first
    A host that doesn't know cold endpoints drops what another one tells of them.

    Given the platform with 3 endpoints that are cold for 4 s at 4 a second, "h1" of the <first> build, "h2" of the <second>
    And a caller at each host asks for "/note/1" every 0.1 s
    When the entries of "e1" say that they are cold for 4 s
    And callers go on for 6 s
    Then all that was asked was answered whole
    And "h1" and "h2" hear each other
    And no host dropped anything but news of cold endpoints, and none of the new build did

    Examples:
      | first | second |
      | old   | new    |
      | new   | old    |

  Scenario: Hosts of both builds keep the rate of a client account together
    Given the platform with 2 endpoints, "h1" of the old build, "h2" of the new
    And "desk" may send 4 requests a second and 4 at once
    When "desk" sends 60 requests to "h1" and "h2" in turn within a second
    Then no more were admitted than its rate, its burst and what is spare allow
    And both hosts admitted and refused some

  Scenario Outline: A job with large results goes half-way from a <first> to a <second> runner
    Given the platform with 2 endpoints, "h1, r1" of the <first> build, "h2" of the <second>
    And each event has 2,000 bytes
    And the endpoints take 0.1 s for an event
    When "desk" submits the job "j1" of 24 items of 20 events to "h1"
    And 4 results of "j1" are listed at "h2"
    And "r1" is killed, and "r2" of the <second> build starts
    Then all 24 results of "j1" can be read whole at "h1" and "h2"

    Examples:
      | first | second |
      | old   | new    |
      | new   | old    |

  Scenario: An old host refuses what a new one found to crash endpoints within answers
    Given the platform with 8 endpoints, "h1" of the old build, "h2" of the new
    And the endpoints answer "crash within" to requests for "deadly"
    When "desk" asks "h2" and "h2" in turn for 6 different prompts with "common+deadly", and each time for one with "common"
    Then 5 endpoints at most have crashed, and the last answer is 422
    When "desk" asks "h1" for 2 different prompts with "common+deadly"
    Then all were refused with 422
    When "desk" asks "h1" for 2 different prompts with "common"
    Then all were answered whole
