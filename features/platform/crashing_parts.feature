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

  # Guards against a part taken for sound since the crash comes after the first event
  # (BUDGET).
  Scenario: A part that crashes endpoints within their answers is refused, sound ones are served
    Given the endpoints answer "crash within" to requests for "deadly"
    When "desk" asks "h1" and "h2" in turn for 9 different prompts with "common+deadly", and each time for one with "common"
    Then 5 endpoints at most have crashed, and the last answer is 422
    When "desk" asks "h1" for 5 different prompts with "common+other"
    Then all were answered whole

  Scenario: A stream that goes on at another endpoint crashes that within the answer too
    Given the endpoints answer "crash within" to requests for "deadly"
    When "desk" asks "h1" for a stream that may be resumed, with "common+deadly"
    And "desk" asks "h1" for a stream that may be resumed, with "other+deadly"
    And "desk" asks "h2" for a stream that may be resumed, with "third+deadly"
    And 2 s pass for the endpoints
    And "desk" asks "h2" for 3 different prompts with "common+deadly"
    Then 5 endpoints at most have crashed
    And all were refused with 422

  Scenario: Items with a part that crashes endpoints within their answers don't take all of these
    Given the endpoints answer "crash within" to requests for "deadly"
    And the runners "r1, r2"
    When "desk" submits the job "j1" of 3 items to "h1", with these header fields in each
      | name            | value                            |
      | X-Prompt-Prefix | common:100,deadly:100,own:100    |
    And 6 s pass for the endpoints
    Then 6 endpoints at most have crashed
    When "desk" asks "h2" for 5 different prompts with "common+other"
    Then all were answered whole

  # Guards against items that are neither run nor given up (LOST).
  Scenario: Items with a part that has crashed endpoints are done once these are mended
    Given the runners "r1, r2"
    When "desk" submits the job "j1" of 4 items to "h1", with these header fields in each
      | name            | value                            |
      | X-Prompt-Prefix | common:100,deadly:100,own:100    |
    And 3 endpoints or more have crashed
    And 2 s pass for the endpoints
    And all endpoints are there again, and run requests for "deadly"
    Then all 4 results of "j1" can be read whole at "h1" and "h2"

  # The other side: endpoints that crash by chance cost no sound request a refusal.
  Scenario: Endpoints crash by chance within long answers that share a part
    When "desk" asks "h1" and "h2" for 24 streams of 300 events with "common", and 6 endpoints are killed meanwhile, one every 0.5 s
    Then none of them was refused, and some were answered whole
    When "desk" asks "h1" for 3 different prompts with "common"
    Then all were answered whole

  # Guards against requests that fail since one of their parts has a long name.
  Scenario: A part may have a long name
    Given the endpoints answer "crash" to requests for "deadly-part-with-a-name-of-48-characters-00000001"
    When "desk" asks "h1" for 3 different prompts with "a-shared-part-with-a-name-of-more-than-32-characters"
    Then all were answered whole
    When "desk" asks "h1" and "h2" in turn for 9 different prompts with "common+deadly-part-with-a-name-of-48-characters-00000001", and each time for one with "common"
    Then 5 endpoints at most have crashed, and the last answer is 422

  # Guards against sound requests that are refused for ten minutes (DENIED, LOST).
  Scenario Outline: All endpoints crash at once within answers that share a part, <store>
    Given the store stays <store>
    When "desk" asks "h1" and "h2" for 24 streams of 300 events with "common", and all endpoints are killed 1.1 s later and back after 1 s
    And 4 s pass for the endpoints
    And "desk" asks "h1" and "h2" for 24 prompts with "common", two a second
    Then none was refused by 422, and the last 14 were answered whole

    Examples:
      | store |
      | there |
      | away  |
