Feature: Requests that crash endpoints
  A request that crashes each endpoint running it is refused after at most two
  crashes in the fleet; other requests that ran there are served.

  Scenario: A crashing request is refused everywhere after two crashes
    Given quarantine: hosts "a1, a2" and "b1" before 3 engines in "a" and 1 in "b"
    When quarantine: a request that crashes engines is sent at "a1"
    Then quarantine: it is refused as quarantined
    And quarantine: at most 2 engines have crashed
    And quarantine: every host lists it as condemned
    When quarantine: the caller sends it again at "a2, b1, a1"
    Then quarantine: each is refused as quarantined with executed "no"
    And quarantine: at most 2 engines have crashed
    When quarantine: the engines are started again and 6 chats are asked for
    Then quarantine: each chat was answered

  Scenario: Requests that fail with a crashing one are served
    Given quarantine: hosts "a1, a2" and "b1" before 4 engines in "a" and 1 in "b"
    When quarantine: 12 chats run while a request that crashes engines is sent
    Then quarantine: the crashing request is refused and each chat was answered
    And quarantine: at most 2 engines have crashed

  Scenario: Two innocent requests at two crashes are not condemned
    Given quarantine: a quarantine with a manual clock
    When quarantine: "x, y" ran at a crash of "e1"
    And quarantine: "x, y" ran at a crash of "e2"
    Then quarantine: "x" and "y" are suspects
    And quarantine: only one of them may run at "e3" at a time
    When quarantine: "x" is answered on its trial at "e3"
    Then quarantine: "x" is clear
    When quarantine: trial of "y" at "e4", which crashes while it runs "y, z"
    Then quarantine: "y" is condemned
    And quarantine: "z" is clear

  Scenario: Crashes in two data centres are combined and expire
    Given quarantine: a quarantine with a manual clock
    And quarantine: a quarantine of another host
    When quarantine: "x, y" ran at a crash of "e1"
    And quarantine: at the other host "x, z" ran at a crash of "e2"
    And quarantine: the hosts exchange their quarantines
    Then quarantine: "x" is condemned
    And quarantine: "y" is clear
    And quarantine: "z" is clear
    When quarantine: 700 seconds pass
    Then quarantine: "x" is clear

  Scenario: One crash that two isolated hosts count separately condemns no request
    Given quarantine: a quarantine with a manual clock
    And quarantine: a quarantine of another host
    When quarantine: "x, y" ran at a crash of "e1"
    And quarantine: at the other host "y, z" ran at a crash of "e1"
    And quarantine: the hosts exchange quarantines each second, for 3 seconds
    Then quarantine: at both hosts "y" is suspect
    When quarantine: 4 seconds pass
    And quarantine: "y" ran at a crash of "e1"
    And quarantine: the hosts exchange quarantines each second, for 3 seconds
    Then quarantine: at both hosts "y" is condemned
    And quarantine: at both hosts "x" is clear

  Scenario: A crash before a trial doesn't count against the trial
    Given quarantine: a quarantine with a manual clock
    When quarantine: "x, y" ran at a crash of "e1"
    And quarantine: trial of "x" begins at "e1", then its old crash is reported for "y"
    Then quarantine: "x" and "y" are suspects
    When quarantine: 4 seconds pass
    And quarantine: trial of "x" at "e1", which crashes while it runs "x"
    Then quarantine: "x" is condemned
    And quarantine: "y" is clear

  Scenario Outline: Repeated exchanges don't extend the expiry of an entry
    Given quarantine: a quarantine with a manual clock
    And quarantine: a quarantine of another host
    When quarantine: "x, y" ran at a crash of "e1"
    And quarantine: "<names>" ran at a crash of "e2"
    And quarantine: the hosts exchange quarantines each second, for 100 seconds
    Then quarantine: at both hosts "x" is <status>
    When quarantine: the hosts exchange quarantines each second, for <seconds> seconds
    Then quarantine: at both hosts "x" is clear
    And quarantine: at both hosts "y" is clear

    Examples:
      | names | status    | seconds |
      | z     | suspect   | 30      |
      | x, z  | condemned | 510     |
