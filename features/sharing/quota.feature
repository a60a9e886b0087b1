Feature: Client accounts keep their rates over all hosts together
  Each host counts what it admits and hears what the others admit. The numbers
  are those of the promise: in any window of 5 s no more than the rate, the
  burst and a tenth, and 20 requests more.

  Scenario Outline: A client account that sends many times its rate through 8 hosts
    Given 8 hosts that hear each other after <delay> ms, losing <lost> of 100 reports
    And a client account with a rate of 4 requests a second and a burst of 4
    When it sends 30 requests a second for 20 s, through all hosts in turn
    Then in no window of 5 s were more admitted than the promise says
    And at least 76 of its requests were admitted

    Examples:
      | delay | lost |
      | 10    | 0    |
      | 100   | 0    |
      | 50    | 20   |

  Scenario: A client account within its rate is not refused
    Given 8 hosts that hear each other after 20 ms, losing 0 of 100 reports
    And a client account with a rate of 4 requests a second and a burst of 4
    When it sends 3 requests a second for 20 s, through all hosts in turn
    Then none of its requests was refused

  Scenario: Hosts that are cut off from each other share the rate
    Given 8 hosts that hear each other after 10 ms, losing 0 of 100 reports
    And a client account with a rate of 4 requests a second and a burst of 4
    And the hosts are cut off from each other after 5 s
    When it sends 30 requests a second for 20 s, through all hosts in turn
    Then in no window of 5 s were more admitted than the promise says

  Scenario: All hosts are killed at once and start again
    Given 8 hosts that hear each other after 10 ms, losing 0 of 100 reports
    And a client account with a rate of 4 requests a second and a burst of 4
    And all hosts lose their memory after 5 s
    When it sends 30 requests a second for 20 s, through all hosts in turn
    Then in no window of 5 s were more admitted than the promise says

  Scenario: A report names only what is new, and all accounts now and then
    Given a host that has admitted requests of "a, b"
    Then its next report names "a, b", which are all
    When after 0.9 s it admits a request of "c"
    Then its next report names "a, b, c", which aren't all
    When 0.2 s pass
    Then its next report names "a, b, c", which are all
    When 0.5 s pass
    Then its next report names "c", which aren't all

  Scenario: An account that an earlier report didn't name isn't counted from nothing
    Given a host that has just heard of another by a report that names "a" alone
    When that other reports 50 requests of "b", and then 53
    Then the host has counted 3 requests of "b"
    When that other reports all accounts, "a" and "b"
    And that other reports 2 requests of "c"
    Then the host has counted 2 requests of "c"
