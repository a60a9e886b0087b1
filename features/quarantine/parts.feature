Feature: Parts of prompts that crash endpoints are found from what all hosts have seen
  Hosts a, b and c tell each other by messages that may be lost, late or doubled.

  Scenario: The narrowest of the parts that explain three crashes is quarantined
    When "a" sees 3 crashes with different requests for "common+rare+deadly"
    And 1 s passes
    Then "a" quarantines "deadly" alone

  Scenario: A part that explains three crashes is suspected until others could clear it
    When "a" sees 3 crashes with different requests for "common+deadly"
    Then "a" suspects "deadly", and quarantines nothing
    When 1 s passes
    Then "a" suspects nothing, and quarantines "deadly"

  Scenario: Hosts that each saw one crash add them up
    When "a" sees a crash of "e1" with a request for "x+deadly"
    And "b" sees a crash of "e2" with a request for "y+deadly"
    And "c" sees a crash of "e3" with a request for "z+deadly"
    And all hosts tell each other, and 1 s passes
    Then "a, b, c" quarantine "deadly" alone

  Scenario: Hosts that see the same crash count it once
    When "a" sees a crash of "e1" with a request for "x+some"
    And "b" sees a crash of "e1" with a request for "y+some"
    And "c" sees a crash of "e1" with a request for "z+some"
    And all hosts tell each other twice, and 1 s passes
    Then "a, b, c" quarantine nothing

  Scenario: A burst of crashes does not quarantine a part that is answered elsewhere
    When "a" sees 6 crashes with different requests for "common"
    And "b" is answered a request for "common"
    And all hosts tell each other, and 1 s passes
    Then "a, b, c" quarantine nothing
    When "b" sees 3 crashes with different requests for "common+deadly"
    And all hosts tell each other, and 1 s passes
    Then "a, b, c" quarantine "deadly" alone

  Scenario: A request that was at many crashes by chance does not convict its parts
    When "a" sees 5 crashes with the same request for "unlucky"
    And 1 s passes
    Then "a" quarantines nothing

  Scenario: What was at the same crashes as a quarantined part is not quarantined
    When "a" sees 3 crashes with different requests for "x+deadly"
    And "a" sees the same crashes with different requests for "bystander"
    And 1 s passes
    Then "a" quarantines "deadly" alone

  Scenario: Two parts that crash endpoints are both quarantined
    When "a" is answered a request for "x"
    And "a" sees 3 crashes with different requests for "x+deadly"
    And "a" sees 4 crashes with different requests for "x+other"
    And 1 s passes
    Then "a" quarantines "deadly+other"

  Scenario: A host that was cut off lets go of what the others were answered
    Given "c" is cut off
    When "c" sees 4 crashes with different requests for "common"
    And "b" is answered a request for "common"
    And all hosts tell each other, and 1 s passes
    Then "c" quarantines "common" alone
    When "c" is in reach again, and all hosts tell each other
    Then "a, b, c" quarantine nothing

  Scenario: A host that told others but could not hear them lets go once it can
    When "a" is answered a request for "common"
    And "c" sees a crash of "e1" with a request for "common+x"
    And "c" sees a crash of "e2" with a request for "common+y"
    And "c" sees a crash of "e3" with a request for "common+z"
    And "c" tells the others, which it can't hear, and 20 s pass
    Then "c" quarantines "common" alone
    When "a" is answered a request for "common"
    And all hosts tell each other, and 1 s passes
    Then "a, b, c" quarantine nothing

  Scenario: A host that was cut off learns what the others quarantined
    Given "c" is cut off
    When "a" sees 3 crashes with different requests for "x+deadly"
    And all hosts tell each other, and 60 s pass
    And "c" is in reach again, and all hosts tell each other
    Then "c" quarantines "deadly" alone

  Scenario: Hosts that start anew learn from one that did not see the crashes
    When "a" sees 3 crashes with different requests for "x+deadly"
    And all hosts tell each other, and 1 s passes
    And "a, b" start anew, and all hosts tell each other
    Then "a, b, c" quarantine "deadly" alone

  Scenario: Repeating the news does not prolong a quarantine
    When "a" sees 3 crashes with different requests for "x+deadly"
    And all hosts tell each other every 20 s, for 700 s
    Then "a, b, c" quarantine nothing

  Scenario: News that can't be decoded are dropped
    Then each of these datagrams is refused as invalid:
      | datagram                               |
      | ["crashes 1"]                          |
      | ["crashes 1", [["e/1", "r", 5, 1]], []] |
      | ["crashes 1", [], [["part"]]]          |
      | ["crashes 1", [], [["part", "old"]]]   |
      | ["crashes 2", [], []]                  |
      | ["crashes 1", {"a": 1}, []]            |

  # Guards against a part that is taken for sound since answers with it had begun.
  Scenario: A part that crashes endpoints within the answer is quarantined
    When "a" sees 4 crashes with different requests for "common+deadly", 0.6 s into their answers
    And 1 s passes
    Then "a" quarantines "deadly" alone

  Scenario: Three crashes within answers are not enough
    When "a" sees 3 crashes with different requests for "common+deadly", 0.6 s into their answers
    And 1 s passes
    Then "a" quarantines nothing

  Scenario: Hosts tell each other how long answers had gone on
    When "a" sees 2 crashes with different requests for "x+deadly", 0.2 s into their answers
    And "b" sees 2 crashes with different requests for "y+deadly", 0.3 s into their answers
    And all hosts tell each other, and 1 s passes
    Then "a, b, c" quarantine "deadly" alone

  Scenario Outline: An answer clears its parts if it went on for much longer than others
    When "a" sees 4 crashes with different requests for "common", <crash> s into their answers
    And "b" has an answer to a request for "common" that goes on for <seconds> s
    And all hosts tell each other, and 1 s passes
    Then "a, b, c" quarantine <parts>

    Examples:
      | crash | seconds | parts          |
      | 0.2   | 0.3     | "common" alone |
      | 0.2   | 1.0     | nothing        |
      | 1.9   | 2.5     | "common" alone |
      | 1.9   | 3.5     | nothing        |

  Scenario: An answer that goes on keeps its parts from being accused of later crashes
    When "a" has an answer to a request for "common" that goes on for 4 s
    And "a" sees 6 crashes with different requests for "common", 0.6 s into their answers
    And 1 s passes
    Then "a" quarantines nothing
    When "a" sees 4 crashes with different requests for "common+deadly", 0.6 s into their answers
    And 1 s passes
    Then "a" quarantines "deadly" alone

  Scenario: Sound requests that share all parts but one are not quarantined
    When "a" sees 4 crashes with different requests for "x+y+deadly+z", 0.2 s into their answers
    And "b" is answered a request for "x+y+sound+z"
    And all hosts tell each other, and 1 s passes
    Then "a, b, c" quarantine "deadly" alone

  Scenario: News of the former build and of this one are read by both
    When "a" sees 2 crashes with different requests for "x+deadly", 0.2 s into their answers
    Then the former build reads the news of "a" as 2 sightings of "x+deadly"
    When "a" hears of 3 sightings of "y+other" from the former build, and 1 s passes
    Then "a" quarantines "other" alone
    When "a" has an answer to a request for "x+deadly" that goes on for 4 s
    Then the former build takes the news of "a" for no answer to "x" or "deadly"

  # Guards against requests that fail since one of their parts has a long name.
  Scenario: Hosts add up the crashes of a part with a long name, and answers clear one
    When "a" is answered a request for "a-sound-part-with-a-name-of-more-than-32-characters"
    And "a" sees 2 crashes with different requests for "a-sound-part-with-a-name-of-more-than-32-characters+a-deadly-part-with-a-name-of-more-than-32-characters"
    And "b" sees 2 crashes with different requests for "a-deadly-part-with-a-name-of-more-than-32-characters"
    And all hosts tell each other, and 1 s passes
    Then "a, b, c" refuse "a-deadly-part-with-a-name-of-more-than-32-characters", not "a-sound-part-with-a-name-of-more-than-32-characters"
