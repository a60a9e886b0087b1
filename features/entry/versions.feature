Feature: Requests that resume a stream wait for endpoints of its software version apart
  Few endpoints may have the version. Neither they nor the other requests hold up the
  others.

  Background:
    Given an endpoint of "v1" and one of "v2", each with 8 slots

  Scenario: Those that may run anywhere don't wait behind those that resume
    Given all slots of "v1" are taken
    When 2 requests that resume streams of "v1" and then 3 others are sent
    Then the others run at "v2" at once
    And those that resume wait

  Scenario: Those that resume get the next slot of their version
    Given all slots of "v1" are taken
    And all slots of "v2" are taken
    When 3 others and then 1 request that resumes one of "v1" are sent
    And a slot of "v1" becomes free
    Then the one that resumes runs at "v1"

  Scenario: Those that resume don't wait behind others for a slot that only they may use
    Given all slots of "v2" are taken
    When 1 request that resumes a stream of "v1" is sent
    Then the one that resumes runs at "v1"

  Scenario: A stream whose version nobody has is refused at once
    When 1 request that resumes a stream of "v3" is sent
    Then it is refused as having no endpoint
