Feature: Data centres send each other summaries of their hosts' reports

  With hundreds of hosts, not every host can receive all reports. Within a data centre
  each host receives all; two of its hosts send summaries to the other data centres.

  Scenario Outline: The datagrams that a host receives don't grow with the number of all hosts
    Given <hosts> hosts in <places> data centres, with 40 endpoints
    When they run requests and report for 3 s
    Then within a second each host has the load of every endpoint
    And no host received more than <most> datagrams a second

    Examples:
      | hosts | places | most |
      | 20    | 4      | 190  |
      | 60    | 4      | 200  |
      | 195   | 6      | 420  |

  Scenario: Other hosts take over from lost aggregators
    Given 60 hosts in 4 data centres, with 40 endpoints
    When they run requests and report for 1 s
    And all aggregators of "a" are lost
    And they run requests and report for 3 s
    Then within a second each host has the load of every endpoint

  Scenario: Reports from a data centre stop while it is cut off, and resume afterwards
    Given 60 hosts in 4 data centres, with 40 endpoints
    When they run requests and report for 1 s
    And "a" is cut off for 2 s
    Then no host in "a" has reports from elsewhere, nor the others from it
    When "a" is connected again
    And they run requests and report for 3 s
    Then within a second each host has the load of every endpoint

  Scenario: Admissions elsewhere are counted once, whichever aggregator reports them
    Given 60 hosts in 4 data centres, with 40 endpoints
    When they run requests and report for 1 s
    And each host admits 3 requests of "desk"
    And they run requests and report for 1 s
    Then each has counted 180 requests of "desk"
    When all aggregators of "a" are lost
    And they run requests and report for 1 s
    And each host admits 2 requests of "desk"
    And they run requests and report for 2 s
    Then each has counted the requests of "desk" at all remaining hosts

  Scenario: Invalid summaries are dropped
    Then these datagrams are refused
      | datagram                |
      | ["summary 1"]           |
      | ["summary 1",1,2]       |
      | ["summary 9","a"]       |
      | {"summary":1}           |
      | [4,"h","1",1e999]       |
      | ["summary 1","a","h","1",1,[[1]],[],0,[],[],[],[],[],[]] |
      | ["copies 1"]            |
      | ["copies 2",[]]         |
      | ["copies 1",[["op/","d",1,"p",1,-5]]] |
      | ["copies 1",[["op/","d",1,"p",1]]] |
      | ["changes 1",["work/","",1,"p",1,0],0,1,[["k",5,1]]] |
      | ["changes 1",[],0,1,[]] |
      | []                      |
      | null                    |
      | not json                |
