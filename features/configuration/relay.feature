Feature: Who reads the platform for a data centre
  The decision alone, on a clock that is moved by hand.

  Scenario: The first in rank reads twice a second, the others do not
    Given relay duty of 3 hosts
    When 10 seconds pass
    Then the first in rank has read about 20 times and the others not at all

  Scenario: The next in rank steps in when the first falls silent
    Given relay duty of 3 hosts
    When 5 seconds pass
    And the first in rank falls silent for 10 seconds
    Then the second in rank has read within 4 seconds of the silence

  Scenario: A copy's age counts from the question, so late news makes it older
    Given trust in keys for 60 seconds
    When news of age 5 that was asked for 50 seconds ago arrives
    Then keys are trusted, and 10 seconds later no more
