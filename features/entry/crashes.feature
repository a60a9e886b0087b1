Feature: A network partition is not mistaken for crashes of endpoints
  In both cases connections break, and the endpoint refuses new ones shortly after.

  # Found by a random fault run (journal f2bab79c, scale-2, seed 931003388785): an
  # item was not run any more after a partition had interrupted three of its runs.
  Scenario Outline: A broken connection is a crash only if the endpoint's data centre reports
    Given a host that <receives> reports of data centre "b" after a connection broke
    When 3 runs of a request are interrupted at an endpoint of "b" that refuses connections
    Then the request is <status>

    Examples:
      | receives         | status          |
      | receives         | quarantined     |
      | does not receive | not quarantined |

  Scenario: An answer clears a request although other hosts keep reporting its earlier crashes
    Given a host to which another has reported 2 crashes of a request
    When the request is answered on this host
    And the other host reports 2 crashes again
    Then 0 crashes count against the request
    When the other host reports no crashes once, and then 2 again
    Then 0 crashes count against the request
    When the other host reports 3 crashes
    Then 1 crash counts against the request
    When the other host restarts, and reports 1 crash, and then 2
    Then 1 crash counts against the request
