Feature: the burn report agrees with what was counted

  # Bad in the last 5 minutes: 500 of 5000, a tenth, 100 times 0.001. In the last
  # hour: 55 x 2 + 500 = 610 of 60000, 10.167 times. In the last half hour:
  # 25 x 2 + 500 = 550 of 30000, 18.333 times. In all: 59 x 2 + 500 = 618 of
  # 64000, 9.656 times; 64 were allowed, so 1 - 618 / 64 = -8.656 is left.
  Scenario: burn rates and budget of a case computed by hand
    Given snapshots of one host: 1000 requests a minute, of which 2 fail, for 59 minutes, then 100 for 5 minutes
    When the burn of an objective of 99.9 percent is computed
    Then the burn over the last 5 minutes is 100.000
    And the burn over the last hour is 10.167
    And the budget left is -8.656
    And only the alerts of 6h/30m and 3d/6h fire

  Scenario: a counter that began again counts from zero
    Given snapshots of host "a1" with answered 100, 200, 30, 50 and broken 0, 10, 0, 1
    When the burn of an objective of 99.9 percent is computed
    Then 161 requests were counted, of which 11 were bad

  Scenario: a host that came within the window counts in full, one of unknown age from its first snapshot
    Given snapshots of host "a1" with answered 1000, 1010 and broken 5, 5
    And snapshots of host "a2", created within the window, with answered 40, 50 and broken 1, 2
    When the burn of an objective of 99.9 percent is computed
    Then 62 requests were counted, of which 2 were bad

  Scenario: a host that is not heard of any more is named
    Given snapshots of host "a1" with answered 0, 10, 20, 30, 40, 50, 60, 70, 80 and broken 0, 0, 0, 0, 0, 0, 0, 0, 0
    And snapshots of host "a2" with answered 0, 10 and broken 0, 0
    Then "a2" is the only host missing
    And a line that was cut off is left out when the file is read again

  Scenario: time objectives take the largest bucket within the threshold
    Given a host's histogram with 90 answers within 0.4 s, 95 within 0.6 s and 100 in all
    Then an objective of 0.5 s counts 90 of 100, one of 0.6 s counts 95 of 100

  Scenario: refusals within rate are set against all requests
    Given a host that counted 200 requests and 3 refusals within rate
    Then the objective on refusals counts 197 of 200

  Scenario: mistakes in an objective are named
    Given a base file with an objective of an unknown kind for an unknown account
    Then checking it names both the kind and the account

  Scenario: the report agrees with the load's own counts on a live run
    Given a platform, an engine in each data centre, and a service
    And a host in each data centre
    And a key of the client account "desk"
    And the hosts' metrics are scraped
    When load runs at 30 requests a second for 3 seconds and an engine refuses a part
    And the hosts' metrics are scraped
    Then the report counts as many good and bad requests as the load
    And its exit code is 8, its page has a plot, and its rules name the objective
