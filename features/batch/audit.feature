Feature: The audit of batch jobs finds what it is for

  Scenario Outline: Planted faults
    When an audit is given a job of 5 items with "<plant>" planted
    Then the audit says "<sentence>"

    Examples:
      | plant            | sentence                    |
      | nothing          | nothing                     |
      | a lost result    | item-0 has no result        |
      | a doubled result | item-0 has 2 results        |
      | a foreign result | other was never asked for   |
      | a second run     | item-0 ran 2 times          |
