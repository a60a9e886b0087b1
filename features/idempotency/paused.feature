Feature: A booking with a key runs once beside hosts that are paused and wake
  A paused host reads what other hosts sent it when it wakes, and acts on it, though
  they have done without it meanwhile.

  Background:
    Given a batch fleet with hosts in two data centres
    And another batch host "a2" in data centre "a"

  Scenario: The host that runs a booking is paused and wakes
    Given the keyed service delays its answers
    When a caller of "a1" sends the booking "b-1" with the key "k-1" and disconnects
    And "a1" is paused once "b-1" runs
    And the keyed service answers again once "b-1" runs
    And a booking "b-1" is sent to "b1" with the key "k-1"
    And the paused host wakes
    And a booking "b-1" is sent to "a2" with the key "k-1"
    Then "b-1" ran 1 times

  Scenario: The host that writes for its data centre is paused and wakes
    When the host that writes keys for "a" is paused, and the booking "b-1" is sent to the other with the key "k-1"
    And the paused host wakes
    And a booking "b-1" is sent to "a1" with the key "k-1"
    And a booking "b-1" is sent to "a2" with the key "k-1"
    Then all keyed answers are the same, and "b-1" ran once

  Scenario: A booking that was not run while the writing host was paused may run later
    Given the keyed service is not running
    When the host that writes keys for "a" is paused, and the booking "b-1" is sent to the other with the key "k-1"
    Then the last keyed answer is refused with executed "no"
    When the paused host wakes
    Given the keyed service is running again
    When a booking "b-1" is sent to "b1" with the key "k-1"
    Then the last keyed answer is the service's, and "b-1" ran once

  Scenario: A booking that was refused while the platform was paused may run later
    When the platform is paused, and the booking "b-1" is sent to "a1" with the key "k-1"
    Then the last keyed answer is refused and "b-1" ran 0 times
    When the paused platform wakes
    And a booking "b-1" is sent to "b1" with the key "k-1"
    And a booking "b-1" is sent to "a1" with the key "k-1"
    Then the last keyed answer is the service's, and "b-1" ran once

  Scenario: The hosts that a booking is passed on to are paused and wake
    When "a1, a2" are paused, and the booking "b-1" is sent to "b1" with the key "k-1"
    Then the last keyed answer is refused with executed "unknown"
    When all paused hosts wake
    And a booking "b-1" is sent to "b1" with the key "k-1"
    And a booking "b-1" is sent to "a1" with the key "k-1"
    Then "b-1" ran once at most
