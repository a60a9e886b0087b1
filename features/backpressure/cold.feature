Feature: Cold endpoints get no more requests than they take
  An endpoint that has just started takes few requests a second and crashes well above
  that. Each host sends it a part, learns of its state at its own time, and together
  they may send too much. The bound is 1.5 times the rate, and 5, in any one second.

  Scenario Outline: All endpoints of <where> start at a rate of <rate>, with <hosts> hosts
    Given <hosts> hosts and <endpoints> endpoints that take <rate> requests a second while cold, by the seed <seed>
    And <load> requests a second come
    When the endpoints of <where> start again within a second
    And that goes on for 8 s
    Then no cold endpoint got more than the rule allows in any second
    And the cold endpoints got at least <share> of what they take

    Examples:
      | hosts | endpoints | rate | seed | load | where | share |
      | 12    | 6         | 12   | 1    | 200  | all   | 0.85  |
      | 12    | 6         | 3    | 2    | 200  | all   | 0.85  |
      | 12    | 6         | 0.5  | 3    | 200  | all   | 0.85  |
      | 68    | 24        | 12   | 4    | 500  | d0    | 0.75  |
      | 68    | 24        | 3    | 5    | 500  | all   | 0.85  |

  Scenario Outline: Half of the hosts start while all endpoints do, with <hosts> hosts
    Given <hosts> hosts and <endpoints> endpoints that take <rate> requests a second while cold, by the seed <seed>
    And <load> requests a second come
    When the endpoints of all start again within a second
    And half of the hosts start anew, one each <seconds> s
    And that goes on for 6 s
    Then no cold endpoint got more than the rule allows in any second

    Examples:
      | hosts | endpoints | rate | seed | load | seconds |
      | 12    | 6         | 12   | 6    | 200  | 0.1     |
      | 12    | 6         | 3    | 7    | 200  | 0.1     |
      | 68    | 24        | 12   | 8    | 500  | 0.03    |

  Scenario Outline: Endpoints that are cold again get 12 a second, with <hosts> hosts
    Given <hosts> hosts and <endpoints> endpoints that take 12 requests a second while cold, by the seed <seed>
    And <load> requests a second come
    When the endpoints of <where> write that they are cold again
    And that goes on for 8 s
    Then no cold endpoint got more than the rule allows in any second
    When the endpoints of <where> write that they are cold again
    And that goes on for 8 s
    Then no cold endpoint got more than the rule allows in any second

    Examples:
      | hosts | endpoints | seed | load | where |
      | 12    | 6         | 9    | 200  | all   |
      | 68    | 24        | 10   | 500  | d1    |

  Scenario Outline: <what> come while all endpoints are cold
    Given <hosts> hosts and <endpoints> endpoints that take <rate> requests a second while cold, by the seed <seed>
    And 20 requests a second come
    When the endpoints of all start again within a second
    And that goes on for 2.5 s
    And 8 <what> come to each host within 20 ms
    And that goes on for 5 s
    Then no cold endpoint got more than the rule allows in any second

    Examples:
      | what     | hosts | endpoints | rate | seed |
      | requests | 12    | 6         | 12   | 11   |
      | requests | 68    | 24        | 3    | 12   |
      | streams  | 12    | 6         | 3    | 13   |
      | streams  | 68    | 24        | 12   | 14   |

  Scenario Outline: <cut> of the hosts are cut off from the others
    Given 12 hosts and 6 endpoints that take <rate> requests a second while cold, by the seed <seed>
    And 200 requests a second come
    When the endpoints of all start again within a second
    And that goes on for 2 s
    And <cut> of the hosts are cut off from the other ones for 2.5 s
    And that goes on for 2 s
    Then no cold endpoint got more than the rule allows in any second

    Examples:
      | cut  | rate | seed |
      | 6    | 12   | 15   |
      | 6    | 3    | 16   |
      | 3    | 12   | 17   |
      | 1    | 3    | 18   |

  Scenario: Hosts that hear nobody keep to the rule together
    Given 12 hosts and 2 endpoints that take 3 requests a second while cold, by the seed 19
    And 40 requests a second come
    When the endpoints of all start again within a second
    And that goes on for 1 s
    And no host hears another one for 4 s
    And 8 requests come to each host within 20 ms
    And that goes on for 2 s
    Then no cold endpoint got more than the rule allows in any second

  Scenario: Cold endpoints that announce a limit get the lower of both
    Given 12 hosts and 6 endpoints that take 12 requests a second while cold, by the seed 20
    And 200 requests a second come
    When the endpoints of all start again within a second
    And that goes on for 1 s
    And they name the limit 2
    And that goes on for 8 s
    Then no cold endpoint got more than the rule allows in any second
    And none got more than its limit of 2 allows

  Scenario Outline: Requests find the other endpoints while some are cold, with <hosts> hosts
    Given <hosts> hosts and <endpoints> endpoints that take 12 requests a second while cold, by the seed <seed>
    And <load> requests a second come
    When the endpoints of d0 start again within a second
    And that goes on for 5 s
    Then at most 1 in 100 requests was refused

    Examples:
      | hosts | endpoints | seed | load |
      | 12    | 8         | 21   | 50   |
      | 68    | 24        | 22   | 150  |

  Scenario Outline: <case>
    Given an endpoint of a service that is cold for 5 s at 12 a second
    When these events follow: <events>
    Then it is cold for <seconds> s more

    Examples:
      | case                                                | events                                     | seconds |
      | An endpoint that enters is cold for its service's time | it enters                               | 5       |
      | Its entry says for how long                         | it enters with 2 s left                    | 2       |
      | Its entry says that it is not                       | it enters with 0 s left                    | 0       |
      | One that was there already is not                   | it is there                                | 0       |
      | One that was there and has just started is          | it is there since 4 s                      | 1       |
      | One that was there says for how long                | it is there with 3 s left                  | 3       |
      | The same entry doesn't count anew                   | it enters with 3 s left, 1 s pass, its entry is read again | 2 |
      | A newer entry does                                  | it enters with 3 s left, 1 s pass, it writes 3 s left      | 3 |
      | A newer entry ends it                               | it enters with 3 s left, 1 s pass, it writes 0 s left      | 0 |
      | An answer prolongs it                               | it enters with 1 s left, 1 s pass, it answers 4 s left     | 4 |
      | An answer ends it                                   | it enters with 4 s left, 1 s pass, it answers 0 s left     | 0 |
      | Another host knows it                               | it is there, another host tells 4 s left                   | 4 |
      | The first reader of an entry knows best             | it is there with 5 s left, another host tells of the same 2 s left | 2 |
      | A service without a cold time has none              | it enters, its service has no cold time                    | 0 |
      | Hosts without bounds know none                      | the host has no bounds, it enters                          | 0 |
      | It ends by time                                     | it enters, 6 s pass                                        | 0 |

  Scenario: Rows of cold endpoints change no limit at hosts that know nothing of them
    Given these answers of an endpoint, in the order in which they arrive
      | asked | answered | limit |
      | 1.0   | 2.0      | 3     |
    When a row of a cold endpoint arrives that another host has sent 4 requests
    Then the limit in force is 3

  Scenario Outline: <value> as <field> is ignored, and the rest is kept
    When the platform's <field> is <value>
    Then it is ignored, and the rest is kept

    Examples:
      | field        | value   |
      | cold_left_ms | -1      |
      | cold_left_ms | 1e300   |
      | cold_left_ms | "soon"  |
      | cold_left_ms | true    |
      | cold_left_ms | []      |
      | cold_s       | -2      |
      | cold_s       | "5"     |
      | cold_s       | 1e300   |
      | cold_per_s   | -1      |
      | cold_per_s   | {}      |
      | cold_per_s   | false   |
      | services     | 7       |
      | services     | [3, {}] |
      | X-Cold-Ms    | -5      |
      | X-Cold-Ms    | nan     |
      | X-Cold-Ms    | 1e999   |
      | X-Cold-Ms    | soon    |

  Scenario: News of cold endpoints that can't be read are dropped whole
    Then none of these is taken for news of limits
      | value                                |
      | ["cold 1",[["e",0,-1,0,0]]]          |
      | ["cold 1",[["e",0,"x",0,0]]]         |
      | ["cold 1",[["e",0,1e300,0,0]]]       |
      | ["cold 1",[["e",0,1,0]]]             |
      | ["cold 1",7]                         |
      | ["cold 2",[]]                        |

  Scenario: A cold endpoint that is slow is not ejected
    Then a cold endpoint whose answer takes 2 s keeps its standing, and one that is not cold is silent
    And a cold endpoint that a request leaves after 1.5 s has not failed, and one that is not cold has
    And a cold endpoint that breaks the connection after 0.1 s has failed

  Scenario: The limit of a cold process ends with the process
    A process that takes its place and isn't cold would else be taken for limited.

    Given an endpoint of a service that is cold for 5 s at 12 a second
    When these events follow: it enters
    And the changes are taken, and a process that isn't cold takes its place
    Then a change ends the limit
