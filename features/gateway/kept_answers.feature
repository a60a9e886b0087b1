Feature: Answers that are kept for batch items are bounded
  An engine in trouble may send without end. What is kept of an answer has a bound for
  each, and one for all together.

  Scenario: An answer without end is given up, and holds nothing afterwards
    Given 2 items' answers that are kept, with 50,000,000 bytes for all
    When the first answer sends without end
    Then it broke off after 8,388,608 bytes, by "kept_bytes"
    And nothing is held any more

  Scenario: Many answers that are kept at once hold a bounded part of the memory
    Given 20 items' answers that are kept, with 50,000,000 bytes for all
    When all answers send 4,000,000 bytes at once
    Then 12 of them are whole, and the others broke off by "buffered_bytes"
    And at most 50,000,000 bytes were held
    And nothing is held any more

  Scenario: Events without end in many answers at once hold a bounded part of the memory
    Given 100 answers, each an event without end, with 20,000,000 bytes for all
    When all are read at once
    Then each broke off, and some by "buffered_bytes"
    And at most 20,000,000 bytes were held
    And nothing is held any more

  Scenario: A body that is read whole is bounded
    Given a server whose answers never end
    When a client reads an answer whole
    Then it broke off by "read_bytes 8388608"
