Feature: Budget is divided and moved, never made
  Ledgers of several hosts lend to each other; time is moved by hand.

  Scenario: The checker finds a planted violation
    Given limits admissions of two hosts that each give out the whole burst
    Then the limits checker finds an excess of one burst
    And the limits checker finds none within one host's admissions

  Scenario: Whatever is lost, doubled, late or lapsed, no window is over the bound
    Then no run of the limits loan machine breaks the bound

  Scenario: A doubled request is given once, an old answer not taken
    Given two limits ledgers with half of rate 10 and burst 20 each
    When one asks the other for 5 tokens and the request arrives twice
    Then both answers are the same and the lender gave 5 tokens once
    And an answer that comes after a newer request is not taken

  Scenario: A borrower that pauses past its loan finds it ended
    Given two limits ledgers with half of rate 10 and burst 20 each
    When one borrows the other's whole half for 2 seconds and then pauses for 60
    Then it can use no more than its own half on waking
    And the lender can use its half again

  Scenario: A right that lapses ends within the pause
    Given a limits ledger whose right lapses after 10 seconds
    When its host pauses for 11 seconds
    Then it admits nothing, and nothing after a late renewal

  Scenario: A rate is changed and an account removed while loans are out
    Given two limits ledgers with half of rate 10 and burst 20 each
    When one borrows the other's whole half for 2 seconds and then pauses for 0
    And the account's rate is set to 2 and its burst to 4
    Then both together admit at most 4 at once
    When the account's rate is set to 0 and its burst to 0
    Then both together admit at most 0 at once
    When the account's rate is set to 10 and its burst to 20
    Then both together admit at most 0 at once

  Scenario: What has been lent on is not given back
    Given two limits ledgers with half of rate 10 and burst 20 each
    When one borrows the other's whole half for 2 seconds and then pauses for 0
    And it lends all it has to a third
    Then it gives nothing back

  Scenario: A lender that releases its slots gives no more than it has
    Given two limits ledgers with half of rate 10 and burst 20 each
    When one borrows the other's whole half for 2 seconds and then pauses for 0
    And the lender stops using its slots
    Then a third that asks the lender gets no token
