Feature: Endpoints that fail part of their requests, or turn slow, get fewer

  Background:
    Given the platform with 4 endpoints, and the hosts "h1, h2"
    And "desk" has asked both hosts for "/note/1", 40 times in all

  Scenario: An endpoint whose health is good fails half of its requests, again and again
    Given "e1" fails each other request
    When "desk" asks both hosts for "/note/1", 200 times in all
    Then all were answered whole
    And "e1" got 25 of them at most
    And a log says "endpoint ejected"
    And while "desk" asks on for "/note/1", a host's metrics name 1 endpoint that gets trials only

  Scenario: An endpoint that failed and is well again stays away
    Given "e1" fails each other request
    And "desk" has asked both hosts for "/note/1", 60 times in all
    When "e1" is well again
    Then "e1" gets requests of "desk" for "/note/1" again, and a log says "growing back"

  Scenario: An endpoint that has turned slow goes on getting its share
    Given "e1" takes 0.1 s for an event
    When "desk" asks both hosts for "/note/1", 80 times in all
    Then all were answered whole
    And "e1" got 10 of them at most

  Scenario: All endpoints fail, and none is asked any more
    Given "e1, e2, e3, e4" fail each other request
    When "desk" asks both hosts for "/note/1", 40 times in all
    Then each endpoint got some of them
