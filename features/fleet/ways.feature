Feature: A call to the store ends in its time, whichever ways it takes

  Scenario: A call tries the store, two hosts and the store again within its time
    Given a host whose way to the store is lost, and two hosts that take no connection
    When it makes a call of 1.2 s, and the store is silent
    Then the call has tried the store twice, and ended after 1.2 s

  Scenario: Connections to the store that were idle when one went silent are not used again
    Given a store whose open connections have gone silent
    When a call to it gets no answer
    Then the idle connections are closed
