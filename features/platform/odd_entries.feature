Feature: One odd entry in the store costs nothing but itself
  Another writer may leave anything among the entries that hosts follow.

  Scenario Outline: An odd entry among the <others> neither stops a host nor its copy
    Given the platform with 1 endpoints, and the hosts "h1, h2"
    And the runners "r1"
    When other writers leave odd entries among the <others>
    And 2 endpoints of "v1" come after them
    And "desk" asks "h1" 40 times for "/ask/1"
    And "desk" submits the job "j1" of 4 items to "h1"
    Then all were answered whole
    And all 4 results of "j1" can be read whole at "h1" and "h2"
    And no task of "h1, h2, r1" has failed
    And the endpoints that came were used

    Examples:
      | others            |
      | endpoints         |
      | hosts             |
      | jobs              |
      | records of streams |

  Scenario Outline: An entry whose <field> is <value> names no endpoint to use
    Given the entry of an endpoint whose <field> is <value>
    Then it names no endpoint

    Examples:
      | field   | value                       |
      | address | "192.0.2.1:99999"           |
      | address | "192.0.2.1:0"               |
      | address | "192.0.2.1:" and 5000 digits |
      | address | "192.0.2.1\u0000:80"        |
      | address | "a name.example:80"         |
      | address | ["192.0.2.1:80"]            |
      | address | ":80"                       |
      | zone    | ["a"]                       |
      | zone    | {"a": 1}                    |
      | zone    | null                        |
      | born    | "yesterday"                 |
      | born    | [1]                         |
      | born    | {}                          |
      | born    | null                        |
      | born    | 1.5                         |
      | born    | true                        |
      | born    | -1                          |
      | slots   | 9223372036854775808         |
      | slots   | 0                           |
      | slots   | true                        |
      | slots   | "8"                         |
      | state   | ["ready"]                   |
      | state   | "resting"                   |
      | service | ["llm"]                     |
      | service | null                        |
      | version | {"v": 1}                    |
      | version | null                        |

  Scenario: Bytes that can't be read name no endpoint
    Given the entry of an endpoint that is nested 100000 deep
    Then it names no endpoint
    Given the entry of an endpoint that holds a number of 400 digits
    Then it names no endpoint
    Given the entry of an endpoint that is a list
    Then it names no endpoint
    Given the entry of an endpoint that is no text
    Then it names no endpoint

  Scenario Outline: A connection to the address <address> can't be made, and that is all
    When a connection to the address <address> is opened
    Then no connection could be made

    Examples:
      | address                      |
      | "192.0.2.1:99999"            |
      | "192.0.2.1:" and 5000 digits |
      | "192.0.2.1\u0000:80"         |
      | "name too long.example:80"   |
