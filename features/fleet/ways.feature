Feature: A call to the store ends within its timeout, whichever paths it takes

  Scenario: A call tries the store, two relays and the store again within its timeout
    Given a host that has lost the store, and two relays that accept no connection
    When it makes a call with a timeout of 1.2 s, and the store does not respond
    Then the call has tried the store twice, and ended after 1.2 s

  Scenario: Idle connections to the store are closed when another stops responding
    Given a store whose open connections no longer respond
    When a call to it gets no answer
    Then the idle connections are closed
