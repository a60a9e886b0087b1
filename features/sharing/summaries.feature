Feature: Hosts of other data centres are known by sums

  Hundreds of hosts can't each hear all others. Within a data centre each hears all;
  two of them tell the other data centres the sums.

  Scenario Outline: What a host hears doesn't grow with all hosts
    Given <hosts> hosts in <places> data centres, with 40 endpoints
    When they run requests and report for 3 s
    Then each knows the load of every endpoint within a second
    And no host took more than <most> datagrams a second

    Examples:
      | hosts | places | most |
      | 20    | 4      | 190  |
      | 60    | 4      | 200  |
      | 195   | 6      | 420  |

  Scenario: Those who speak are lost, and others speak
    Given 60 hosts in 4 data centres, with 40 endpoints
    When they run requests and report for 1 s
    And all hosts are lost that speak for "a"
    And they run requests and report for 3 s
    Then each knows the load of every endpoint within a second

  Scenario: A data centre that is cut off is no longer heard, and then heard again
    Given 60 hosts in 4 data centres, with 40 endpoints
    When they run requests and report for 1 s
    And "a" is cut off for 2 s
    Then no host elsewhere hears one in "a", and the other way round
    When "a" is connected again
    And they run requests and report for 3 s
    Then each knows the load of every endpoint within a second

  Scenario: Admissions elsewhere are counted once, whoever tells of them
    Given 60 hosts in 4 data centres, with 40 endpoints
    When they run requests and report for 1 s
    And each host admits 3 requests of "desk"
    And they run requests and report for 1 s
    Then each has counted 180 requests of "desk"
    When all hosts are lost that speak for "a"
    And they run requests and report for 1 s
    And each host admits 2 requests of "desk"
    And they run requests and report for 2 s
    Then each has counted the requests of "desk" at all that are left

  Scenario: What is no summary is dropped
    Then these datagrams are refused
      | datagram                |
      | ["summary 1"]           |
      | ["summary 1",1,2]       |
      | ["summary 9","a"]       |
      | {"summary":1}           |
      | [4,"h","1",1e999]       |
      | ["summary 1","a","h","1",1,[[1]],[],0,[],[],[],[],[],[]] |
      | []                      |
      | null                    |
      | not json                |
