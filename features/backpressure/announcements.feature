Feature: Which limit of an endpoint is in force
  Answers arrive out of order, limits move, and an endpoint may come back under its name.

  Scenario Outline: <case>
    Given these answers of an endpoint, in the order in which they arrive
      | asked | answered | limit    |
      | 1.0   | 2.0      | <first>  |
      | <asked> | 3.0    | <second> |
    Then the limit in force is <limit>

    Examples:
      | case                                                      | first | asked | second | limit |
      | A higher limit holds if it was asked for later            | 3     | 2.0   | 5      | 5     |
      | A higher limit that may be the older one doesn't hold     | 3     | 1.5   | 5      | 3     |
      | A lower limit holds at once                               | 3     | 1.5   | 2      | 2     |
      | The end of a limit holds if it was asked for later        | 3     | 2.0   | none   | none  |
      | An answer without a limit that may be older ends none     | 3     | 1.5   | none   | 3     |
      | A limit of nought is a limit                              | 3     | 2.0   | 0      | 0     |

  Scenario: An answer that was written before the end of a limit doesn't bring it back
    Given these answers of an endpoint, in the order in which they arrive
      | asked | answered | limit |
      | 1.0   | 2.0      | 3     |
      | 4.0   | 5.0      | none  |
    And another host tells that it was 2 when asked at 1.5 and answered at 3.5
    Then the limit in force is none

  Scenario: What is told of an earlier process says nothing of the one of now
    Given these answers of an endpoint, in the order in which they arrive
      | asked | answered | limit |
      | 1.0   | 2.0      | 3     |
    When it starts again
    Then no limit is in force for its new process
    When the new process names the limit 2
    And another host tells that the old process took 1
    Then the new process's limit is 2

  Scenario Outline: "<value>" in the place of a limit <meaning>
    When an answer has "<value>" where a limit stands
    Then it <meaning>

    Examples:
      | value | meaning      |
      | 4.25  | names 4.25   |
      | 3     | names 3      |
      | 0     | names 0      |
      | -1    | says nothing |
      | nan   | says nothing |
      | inf   | says nothing |
      | 1e999 | says nothing |
      | soon  | says nothing |
      | 3, 4  | says nothing |

  Scenario: News of limits that can't be read are dropped whole
    Then none of these is taken for news of limits
      | value                                        |
      | ["limits 1","h","a",1,[["e",0,-1,0,0,null]]] |
      | ["limits 1","h","a",1,[["e",0,"x",0,0,1]]]   |
      | ["limits 1","h","a",1,[["e",0,1,0,0]]]       |
      | ["limits 1","h","a",1,7]                     |
      | ["limits 2","h","a",1,[]]                    |
      | ["limits 1","h"]                             |

  Scenario: Counts of another host that arrive late or again aren't counted twice
    Given another host tells, in messages 1 to 4, that it has sent 3, 5, 5 and 9 requests
    When the messages arrive as 1, 3, 2, 3, 4
    Then 9 requests are counted

  Scenario: A host that starts again counts from its start
    Given another host tells, in messages 1 to 2, that it has sent 3 and 5 requests
    When the messages arrive as 1, 2
    And it starts again and tells in message 1 that it has sent 2
    Then 7 requests are counted
