Feature: Drain and rolling restart
  A host that is told to end cuts off no request, and ends at once when it is
  told twice.

  Scenario: A running stream ends whole before the host does
    Given drain: 2 hosts before a slow engine
    When drain: a stream of 60 tokens has begun at the first host
    And drain: the first host is told to end
    Then drain: the first host says that it is not ready
    And drain: the first host still serves a new request, and closes after it
    And drain: the stream ends whole with its own 60 tokens
    And drain: the first host exits with 0

  Scenario: An answer begun before the drain leaves its connection open for a request
    Given drain: 2 hosts before a slow engine
    When drain: a stream of 25 tokens ends after the first host was told to end
    Then drain: a request on the same connection is served, and closes it

  Scenario: A second signal ends a host at once
    Given drain: 2 hosts before a slow engine
    When drain: a stream of 2000 tokens has begun at the first host
    And drain: the first host is told to end
    Then drain: the first host says that it is not ready
    When drain: the first host is told to end
    Then drain: the first host exits with 0
    And drain: the stream is seen to be broken

  Scenario: All hosts are restarted in turn under load
    Given drain: 8 hosts in two data centres before engines and a service
    When drain: every host is restarted in turn under load through a lagging balancer
    Then drain: no request was lost or refused, and each got its own answer

  Scenario: A host that is paused and woken does no harm
    Given drain: 3 hosts in two data centres before engines and a service
    When drain: the first host is paused for a while within its requests and woken
    Then drain: each of its requests got its own answer or a true refusal
    And drain: the hosts know each other again
