Feature: Requests are kept from endpoints if a part of their prompts crashes these
  No two of them are alike. Sound requests share their client account and first part.

  Background:
    Given the platform with 9 endpoints, and the hosts "h1, h2"
    And the endpoints answer "crash" to requests for "deadly"

  # Issue 35: crashes were counted by the whole request, so they were never added up.
  Scenario: Different requests with a crashing part are refused, sound ones are served
    When "desk" asks "h1" and "h2" in turn for 9 different prompts with "common+deadly", and each time for one with "common"
    Then 5 endpoints at most have crashed, and the last answer is 422
    When "desk" asks "h1" for 5 different prompts with "common"
    Then all were answered whole
    When "desk" asks "h2" for 5 different prompts with "common+other"
    Then all were answered whole

  Scenario: A retry waits for the diagnosis if its part was at a crash before
    When "desk" asks "h1" for a stream that may be resumed, with "common+deadly"
    Then 2 endpoints at most have crashed, and "h1" has noted each
    When "desk" asks "h1" for a stream that may be resumed, with "other+deadly"
    Then 3 endpoints at most have crashed

  Scenario: A host that starts afterwards refuses requests with a crashing part
    When "desk" asks "h1" and "h2" in turn for 9 different prompts with "common+deadly", and each time for one with "common"
    Then 5 endpoints at most have crashed, and the last answer is 422
    When the host "h3" starts, and 3 s pass
    And "desk" asks "h3" for 5 different prompts with "other+deadly"
    Then all were refused with 422

  Scenario: Hosts that all started anew at once still know the crashing part
    When "desk" asks "h1" and "h2" in turn for 9 different prompts with "common+deadly", and each time for one with "common"
    Then 5 endpoints at most have crashed, and the last answer is 422
    When "h1" and "h2" are killed together and start anew
    And "desk" asks "h1" for 1 different prompts with "other+deadly"
    Then all were refused with 422
