Feature: A call to the store ends within its timeout, whichever paths it takes

  Scenario: A call tries the store, two relays and the store again within its timeout
    Given a host whose way to the store is lost, and two hosts that take no connection
    When it makes a call of 1.2 s, and the store is silent
    Then the call has tried the store twice, and ended after 1.2 s

  Scenario: Idle connections to the store are closed when another stops responding
    Given a store whose open connections have gone silent
    When a call to it gets no answer
    Then the idle connections are closed
