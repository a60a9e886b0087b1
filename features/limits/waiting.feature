Feature: A request within its account's rate waits for budget that is about to come
  A slot that has changed hands starts without tokens, and lenders may be slow to answer.

  Scenario: Tokens of a slot that has just been taken over accrue in time
    Given a host that has just taken over all slots of an account with rate 12
    When 1 request asks it for budget
    Then 1 request is admitted

  Scenario: Requests beyond what accrues in time are refused at once
    Given a host that has just taken over all slots of an account with rate 12
    When 20 requests ask it for budget
    Then those that are refused don't wait for those that are admitted
    And at least 15 requests are refused

  Scenario: A host with a sliver of the rate waits for lenders that haven't answered
    Given a host with 0.0002 of an account with rate 5000, and 4 lenders, of which the first 3 asked don't answer
    When 1 request asks it for budget
    Then 1 request is admitted
