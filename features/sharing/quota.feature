Feature: Client accounts are limited to their rates over all hosts together
  Each host counts what it admits, and the others report what they admit. In any
  window of 5 s, at most 1.1 times the sum of the burst and of 5 s of the rate is
  admitted, plus 20 requests.

  Scenario Outline: A client account that sends many times its rate through 8 hosts
    Given 8 hosts whose reports arrive after <delay> ms, with <lost> of 100 lost
    And a client account with a rate of 4 requests a second and a burst of 4
    When it sends 30 requests a second for 20 s, through all hosts in turn
    Then no window of 5 s has more admissions than the limit
    And at least 76 of its requests were admitted

    Examples:
      | delay | lost |
      | 10    | 0    |
      | 100   | 0    |
      | 50    | 20   |

  Scenario: A client account within its rate is not refused
    Given 8 hosts whose reports arrive after 20 ms, with 0 of 100 lost
    And a client account with a rate of 4 requests a second and a burst of 4
    When it sends 3 requests a second for 20 s, through all hosts in turn
    Then none of its requests was refused

  Scenario: Hosts that are cut off from each other share the rate
    Given 8 hosts whose reports arrive after 10 ms, with 0 of 100 lost
    And a client account with a rate of 4 requests a second and a burst of 4
    And the hosts are cut off from each other after 5 s
    When it sends 30 requests a second for 20 s, through all hosts in turn
    Then no window of 5 s has more admissions than the limit

  Scenario: All hosts are killed at once and restart
    Given 8 hosts whose reports arrive after 10 ms, with 0 of 100 lost
    And a client account with a rate of 4 requests a second and a burst of 4
    And all hosts restart after 5 s
    When it sends 30 requests a second for 20 s, through all hosts in turn
    Then no window of 5 s has more admissions than the limit

  Scenario: A report names recently active accounts only, and all accounts regularly
    Given a host that has admitted requests of "a, b"
    Then its next report names "a, b", and is complete
    When after 0.9 s it admits a request of "c"
    Then its next report names "a, b, c", and is not complete
    When 0.2 s pass
    Then its next report names "a, b, c", and is complete
    When 0.5 s pass
    Then its next report names "c", and is not complete

  Scenario: An account that an earlier report didn't name isn't counted from zero
    Given a host that has received another host's first report, which names only "a"
    When the other host reports 50 requests of "b", and then 53
    Then the host has counted 3 requests of "b"
    When the other host reports all accounts, "a" and "b"
    And the other host reports 2 requests of "c"
    Then the host has counted 2 requests of "c"
