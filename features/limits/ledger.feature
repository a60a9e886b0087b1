Feature: Loans move budget between hosts but never create any
  Ledgers of several hosts lend to each other under a manual clock.

  Scenario: The checker finds a deliberate violation
    Given limits admissions of two hosts that each admit the whole burst
    Then the limits checker finds an excess of one burst
    And the limits checker finds none within one host's admissions

  Scenario: No window exceeds the bound when messages are lost, duplicated or late, or allocations expire
    Then no run of the limits loan machine breaks the bound

  Scenario: A duplicated request is granted once, and an outdated answer is ignored
    Given two limits ledgers with half of rate 10 and burst 20 each
    When one asks the other for 5 tokens and the request arrives twice
    Then both answers are the same and the lender transferred 5 tokens once
    And an answer that arrives after a newer request is ignored

  Scenario: A loan ends while its borrower is paused
    Given two limits ledgers with half of rate 10 and burst 20 each
    When one borrows the other's whole half for 2 seconds and then pauses for 60
    Then the borrower can use no more than its own half
    And the lender can use its half again

  Scenario: An allocation expires while its host is paused
    Given a limits ledger whose allocation expires after 10 seconds
    When its host pauses for 11 seconds
    Then it admits nothing, not even after a late renewal

  Scenario: A rate is changed and an account removed while loans are running
    Given two limits ledgers with half of rate 10 and burst 20 each
    When one borrows the other's whole half for 2 seconds and then pauses for 0
    And the account's rate is set to 2 and its burst to 4
    Then both together admit at most 4 at once
    When the account's rate is set to 0 and its burst to 0
    Then both together admit at most 0 at once
    When the account's rate is set to 10 and its burst to 20
    Then both together admit at most 0 at once

  Scenario: A loan that has been lent on isn't returned
    Given two limits ledgers with half of rate 10 and burst 20 each
    When one borrows the other's whole half for 2 seconds and then pauses for 0
    And it lends all that it has to a third ledger
    Then it returns nothing

  Scenario: A lender that releases its slots grants no more than it has
    Given two limits ledgers with half of rate 10 and burst 20 each
    When one borrows the other's whole half for 2 seconds and then pauses for 0
    And the lender stops using its slots
    Then a third ledger that asks the lender gets no tokens
