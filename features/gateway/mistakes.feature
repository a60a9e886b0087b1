Feature: A mistake in the host's own code costs one request
  Scenario: A handler that fails
    Given a server whose handler fails on one path
    When its paths are asked for in turn
    Then the failing path is answered 500, executed "unknown", and the others 200

  Scenario: A part of the front that fails
    Given a front whose limiter fails
    When a caller asks that front for a chat
    Then the front answers 500 as "internal_error", executed "unknown"

  Scenario: Callers can look every code up
    Then the callers' guide has every code with its status
