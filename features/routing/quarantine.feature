Feature: Requests that crash endpoints
  A request that crashes each endpoint running it is refused after at most two
  crashes in the fleet; those that only died with it are served.

  Scenario: A crashing request is refused everywhere after two crashes
    Given quarantine: hosts "a1, a2" and "b1" before 3 engines in "a" and 1 in "b"
    When quarantine: a request that crashes engines is sent at "a1"
    Then quarantine: it is refused as quarantined
    And quarantine: at most 2 engines have crashed
    And quarantine: every host shows it as condemned
    When quarantine: the caller sends it again at "a2, b1, a1"
    Then quarantine: each is refused as quarantined with executed "no"
    And quarantine: at most 2 engines have crashed
    When quarantine: the engines are started again and 6 chats are asked for
    Then quarantine: each chat was answered

  Scenario: Requests that die with a crashing one are served
    Given quarantine: hosts "a1, a2" and "b1" before 4 engines in "a" and 1 in "b"
    When quarantine: 12 chats run while a request that crashes engines is sent
    Then quarantine: the crashing one is refused and each chat was answered
    And quarantine: at most 2 engines have crashed

  Scenario: Two innocent requests at two crashes are not condemned
    Given quarantine: a quarantine by hand
    When quarantine: "x, y" ran at a crash of "e1"
    And quarantine: "x, y" ran at a crash of "e2"
    Then quarantine: "x" and "y" are suspects
    And quarantine: only one of them may run at "e3" at a time
    When quarantine: "x" is answered on its trial at "e3"
    Then quarantine: "x" is clear
    When quarantine: trial of "y" at "e4", which crashed under "y, z"
    Then quarantine: "y" is condemned
    And quarantine: "z" is clear

  Scenario: Crashes in two data centres are put together and expire
    Given quarantine: a quarantine by hand
    And quarantine: another quarantine elsewhere
    When quarantine: "x, y" ran at a crash of "e1"
    And quarantine: elsewhere "x, z" ran at a crash of "e2"
    And quarantine: each takes in what the other knows
    Then quarantine: "x" is condemned
    And quarantine: "y" is clear
    And quarantine: "z" is clear
    When quarantine: 700 seconds pass
    Then quarantine: "x" is clear

  Scenario: A crash that two hosts count, neither hearing the other, condemns nobody
    Given quarantine: a quarantine by hand
    And quarantine: another quarantine elsewhere
    When quarantine: "x, y" ran at a crash of "e1"
    And quarantine: elsewhere "y, z" ran at a crash of "e1"
    And quarantine: they tell each other all once a second, for 3 seconds
    Then quarantine: both hold "y" to be suspect
    When quarantine: 4 seconds pass
    And quarantine: "y" ran at a crash of "e1"
    And quarantine: they tell each other all once a second, for 3 seconds
    Then quarantine: both hold "y" to be condemned
    And quarantine: both hold "x" to be clear

  Scenario: A trial that begins after a crash is not convicted by it
    Given quarantine: a quarantine by hand
    When quarantine: "x, y" ran at a crash of "e1"
    And quarantine: trial of "x" begins at "e1", and "y" reports it
    Then quarantine: "x" and "y" are suspects
    When quarantine: 4 seconds pass
    And quarantine: trial of "x" at "e1", which crashed under "x"
    Then quarantine: "x" is condemned
    And quarantine: "y" is clear

  Scenario Outline: What hosts tell each other again and again ends when it would have
    Given quarantine: a quarantine by hand
    And quarantine: another quarantine elsewhere
    When quarantine: "x, y" ran at a crash of "e1"
    And quarantine: "<names>" ran at a crash of "e2"
    And quarantine: they tell each other all once a second, for 100 seconds
    Then quarantine: both hold "x" to be <standing>
    When quarantine: they tell each other all once a second, for <seconds> seconds
    Then quarantine: both hold "x" to be clear
    And quarantine: both hold "y" to be clear

    Examples:
      | names | standing  | seconds |
      | z     | suspect   | 30      |
      | x, z  | condemned | 510     |
