Feature: the fault proxy does to a link what it is told, and nothing else

  Background:
    Given a service behind a fault proxy

  Scenario: without faults bytes pass both ways and are counted
    Then a post through the proxy is answered and ran once
    And the proxy counted bytes both ways

  Scenario: a forward cut holds a request back, and passes it on when it ends
    When the link's "cut_forward" is set and a post is sent
    Then the post has not run while the link is cut
    When the link is mended
    Then the post is answered and ran once

  Scenario: a backward cut lets the request run and holds its answer back
    When the link's "cut_backward" is set and a post is sent
    Then the post runs once, and its answer has not come
    When the link is mended
    Then the post is answered and ran once

  Scenario: a lost answer is lost after the request ran
    When the link loses one answer and a post is sent
    Then the post runs once and ends without an answer
    And a post through the proxy is answered and ran once

  Scenario: a truncated answer breaks off after the stated bytes
    When the link truncates after 1000 bytes and a post is sent
    Then the post runs once and ends without an answer

  Scenario: a reset ends open connections, and new ones work
    When the link's "cut_backward" is set and a post is sent
    Then the post runs once, and its answer has not come
    When the link is reset
    Then the post ends without an answer
    When the link is mended
    Then a post through the proxy is answered and ran once

  Scenario: a link that refuses runs nothing
    When the link refuses and a post is sent
    Then the post ends without an answer
    And the service ran nothing

  Scenario: a delay holds for each direction
    When the link delays by 0.2 seconds
    Then a post through the proxy takes at least 0.4 seconds

  Scenario: a schedule depends on its seed alone, and every fault of it ends
    Then schedules of the same seed are the same, of others not
    And after its last step a link has no fault

  Scenario: a schedule that is posted is followed to its end
    When a schedule of 1 second is posted
    Then the link has no fault in the end
    And a post through the proxy is answered and ran once

  Scenario: a fault that does not exist is refused
    Then changing an unknown fault or link is answered by 400
