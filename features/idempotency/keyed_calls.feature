Feature: A booking sent with an Idempotency-Key runs once across the fleet
  The service counts every run of every booking.

  Background:
    Given a batch fleet with hosts in two data centres

  Scenario: A resend to any host gets the complete recorded answer
    When a booking "b-1" is sent to "a1" with the key "k-1"
    And a booking "b-1" is sent to "b1" with the key "k-1"
    And a booking "b-1" is sent to "a1" with the key "k-1"
    Then all keyed answers are the same, and "b-1" ran once

  Scenario: A key that was used for another body is refused
    When a booking "b-1" is sent to "a1" with the key "k-1"
    And a booking "b-2" is sent to "b1" with the key "k-1"
    Then the last keyed answer is refused as "conflict", executed "no"
    And "b-2" ran 0 times

  Scenario: Many resends to both hosts at once run each booking once
    When 30 bookings with keys are sent 4 times each to both hosts at once
    Then each keyed booking has one answer and ran once
    And the keyed bookings took fewer than 120 writes

  Scenario: A resend waits for the run on another host
    Given the keyed service delays its answers
    When a booking "b-1" with the key "k-1" is sent to "a1", then to "b1"
    And the keyed service answers again once "b-1" runs
    Then all keyed answers are the same, and "b-1" ran once

  Scenario: A caller that disconnects gets its answer when it sends the request again
    Given the keyed service delays its answers
    When a caller of "a1" sends the booking "b-1" with the key "k-1" and disconnects
    And the keyed service answers again once "b-1" runs
    And a booking "b-1" is sent to "b1" with the key "k-1"
    Then all keyed answers are the same, and "b-1" ran once

  Scenario: The service runs a booking but sends no answer
    Given the batch service runs the next 1 calls without an answer
    When a booking "b-1" is sent to "a1" with the key "k-1"
    Then the last keyed answer is refused as "outcome_unknown", executed "unknown"
    When a booking "b-1" is sent to "b1" with the key "k-1"
    Then the last keyed answer is refused as "outcome_unknown", executed "unknown"
    And "b-1" ran 1 times

  Scenario: The host that runs a booking is killed
    Given the keyed service delays its answers
    When a caller of "a1" sends the booking "b-1" with the key "k-1" and disconnects
    And the batch host "a1" is killed once "b-1" runs
    And the keyed service answers again once "b-1" runs
    And a booking "b-1" is sent to "b1" with the key "k-1"
    Then the last keyed answer is refused as "outcome_unknown", executed "unknown"
    And "b-1" ran 1 times

  Scenario: A booking that was certainly not run may run on the resend
    Given the keyed service is not running
    When a booking "b-1" is sent to "a1" with the key "k-1"
    Then the last keyed answer is refused with executed "no"
    Given the keyed service is running again
    When a booking "b-1" is sent to "b1" with the key "k-1"
    Then the last keyed answer is the service's, and "b-1" ran once

  Scenario: The platform is unavailable
    Given the platform is down for keyed calls
    When a booking "b-1" is sent to "a1" with the key "k-1"
    Then the last keyed answer is refused as "platform_away", executed "no"
    And "b-1" ran 0 times
    And a keyed chat through "a1" is answered
    Given the platform is up for keyed calls
    When a booking "b-1" is sent to "b1" with the key "k-1"
    Then the last keyed answer is the service's, and "b-1" ran once

  Scenario: The platform loses the answer to the intent
    Given the platform loses the answers of the next 3 keyed writes
    When a booking "b-1" is sent to "a1" with the key "k-1"
    And a booking "b-1" is sent to "b1" with the key "k-1"
    Then all keyed answers are the same, and "b-1" ran once
