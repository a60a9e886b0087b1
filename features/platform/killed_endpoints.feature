Feature: Answers without a length that end with their endpoint's process aren't whole
  The system closes the connections of a process that is killed in good order, between
  two events if that is where the process was.

  # Guards against the part of an answer being passed on as a whole one (MIXED).
  Scenario Outline: An endpoint is killed within answers <path>, and is back <back>
    Given the platform with endpoints "e1, e2, e3" whose answers have no length, and the hosts "h1, h2"
    When 12 streams of 40 events of "<path>" begin, and "e1" is killed within them and is back <back>
    Then some had begun at "e1"
    And each answer that looks whole has each of its 40 events once
    And <more>

    Examples:
      | path    | back    | more                 |
      | /ask/   | later   | the others are whole |
      | /ask/   | at once | the others are whole |
      | /note/  | later   | all were whole       |
      | /note/  | at once | all were whole       |
      | /safe/  | at once | the others are whole |

  Scenario: A caller of HTTP/1.0 gets no part of an answer for a whole one
    Given the platform with endpoints "e1, e2, e3" whose answers have no length, and the hosts "h1, h2"
    When 12 streams of 40 events of "/ask/" begin by HTTP/1.0, and "e1" is killed within them and is back later
    Then some had begun at "e1"
    And each answer that looks whole has each of its 40 events once
    And the others are whole

  # Guards against results that are listed as done without the rest of their text (MIXED).
  Scenario Outline: An endpoint is killed within items, and is back <back>
    Given the platform with endpoints "e1, e2, e3" whose answers have no length, and the hosts "h1, h2"
    And the runners "r1, r2"
    When "desk" submits the job "j1" of 12 items of 60 events to "h1"
    And "e1" is killed within items, and is back <back>
    Then all 12 results of "j1" can be read whole at "h1" and "h2"

    Examples:
      | back    |
      | later   |
      | at once |

  # The other side: sound answers aren't lost for want of a proof.
  Scenario Outline: Sound answers of an endpoint that <does> connections that carry nothing are whole
    Given the platform with endpoints "e1, e2" whose answers have no length, and the hosts "h1, h2"
    And "e1, e2" <do> connections that carry nothing
    And the runners "r1, r2"
    When 12 streams of 10 events of "/ask/" begin
    Then all were whole
    When "desk" submits the job "j1" of 8 items of 30 events to "h1"
    Then all 8 results of "j1" can be read whole at "h1" and "h2"

    Examples:
      | does   | do    |
      | keeps  | keep  |
      | ends   | end   |

  Scenario: Sound answers are whole while the store is away
    Given the platform with endpoints "e1, e2" whose answers have no length, and the hosts "h1, h2"
    And the store is away
    When 12 streams of 10 events of "/ask/" begin
    Then all were whole
