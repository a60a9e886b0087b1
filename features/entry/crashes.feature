Feature: A cut between data centres is not taken for endpoints' crashes
  In both cases connections break, and the endpoint refuses new ones a moment later.

  # Found by a hunt of yardimeli-mg (journal f2bab79c, scale-2, seed 931003388785):
  # an item whose runs a cut had broken off three times was not run any more.
  Scenario Outline: What counts is whether hosts of the endpoint's data centre are heard
    Given a host that <hears> the hosts of data centre "b" after a connection broke
    When 3 runs of a request break off at an endpoint of "b" that refuses connections
    Then the request is <judged>

    Examples:
      | hears        | judged      |
      | hears        | condemned   |
      | doesn't hear | run further |

  Scenario: An answer clears a request for good, though other hosts go on telling of its crashes
    Given a host that has heard of 2 crashes of a request from another
    When the request is answered here
    And the other host tells again of 2 crashes
    Then 0 crashes are held against the request
    When the other host tells of none for a moment, and again of 2 crashes
    Then 0 crashes are held against the request
    When the other host tells of 3 crashes
    Then 1 crash is held against the request
    When the other host starts again, and tells of 1 crash, and then of 2
    Then 1 crash is held against the request
