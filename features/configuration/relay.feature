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

  Scenario Outline: A newer version waits until another host has it: <case>
    Given a version 2 from <source> at a host that <state>
    When its data centre's other hosts have "<versions>"
    Then the version <outcome>

    Examples:
      | case                       | source       | state        | versions | outcome           |
      | nobody else has it         | the platform | runs         | 1 1      | is not in force   |
      | one other has it           | the platform | runs         | 1 2      | is in force       |
      | nobody else is there       | the platform | runs         | none     | is in force       |
      | a peer has not answered    | a peer       | just started | 2 ?      | is not in force   |
      | all peers have answered    | a peer       | just started | 2 1      | is in force       |
      | a peer has a newer one     | a peer       | just started | 3 1      | is not in force   |
      | nobody takes it for 3 s    | the platform | runs         | 1 late   | is in force       |
