Feature: the classes that run behave as the specifications say

  Scenario Outline: random runs of <machine> break no promise
    Then random runs of the machine "<machine>" break no promise

    Examples:
      | machine      |
      | batch        |
      | chunks       |
      | membership   |
      | token bucket |

  Scenario: the batch machine sees a commit without its epoch
    Then random runs of the machine "batch without epochs" break a promise

  Scenario: the machine of chunks sees a commit without its fence
    Then random runs of the machine "chunks without fencing" break a promise
