Feature: Online soak under mixed faults
  Under any fault every caller gets its own complete answer or a correct refusal.

  Scenario: A fixed number of requests under faults from a seeded schedule
    Given soak: 2 hosts in each of two data centres, engines and services behind a proxy
    When soak: 900 chats, streams and bookings run while faults follow seed 11
    And soak: an engine is killed and started again, and a host is paused and woken
    Then soak: every caller got its own whole answer or a true refusal
    And soak: no booking ran twice, and most requests were answered
    And soak: the hosts serve everything again
