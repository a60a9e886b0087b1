Feature: the core protocols keep their promises in every run of a small model

  Scenario Outline: the promises of <protocol> hold, and the good end is reached
    Given the specification of "<protocol>"
    Then no run up to its depth breaks a promise
    And its promises hold at every depth by induction
    And its fair schedule reaches the goal from every state

    Examples:
      | protocol      |
      | batch         |
      | limits        |
      | configuration |

  Scenario Outline: a mistake in <protocol> is caught: <mutation>
    Given the mistake "<mutation>" in the specification of "<protocol>"
    Then a run up to its depth breaks a promise
    And its promises are not inductive

    Examples:
      | protocol      | mutation                               |
      | batch         | acknowledge before the manifest        |
      | batch         | commit without epoch                   |
      | batch         | commit again on a fresh revision       |
      | batch         | claim forgets results                  |
      | batch         | claim a cancelled job                  |
      | batch         | resend makes a second job              |
      | batch         | commit ends a cancel                   |
      | limits        | lease counted from the answer          |
      | limits        | loan counted from the reply            |
      | limits        | lender restores at once                |
      | limits        | lender restores with tokens            |
      | limits        | re-claim ignores loans                 |
      | limits        | re-claim ignores changes               |
      | limits        | clock not read at admission            |
      | limits        | ownership outlives the lease           |
      | configuration | write without comparing                |
      | configuration | take any answer                        |
      | configuration | restart serves what one peer knows     |
      | configuration | restart serves its stale copy          |
      | configuration | put in force what nobody else knows    |

  Scenario: no mistake is left out of the table
    Then every mutation of every specification is in the table above
