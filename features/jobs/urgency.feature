Feature: Items that can end by their due dates run first
  Online requests leave free slots only intermittently, and jobs arrive in bursts, so
  at times not all items can end in time.

  Scenario: One item too many is left out, and the others end in time
    If all shared the slots in order of due date, each would end a little too late.

    Given 5 items of 4 s each, due in 10 s
    When the host gets 1.5 slots on average
    Then 3 items are timely, and run first

  Scenario: Items that are nearly done are kept
    Given 2 items of 4 s each, due in 10 s
    And 3 items of 4 s each that are 75% done, due in 10.5 s
    When the host gets 1 slot on average
    Then 4 items are timely, and run first
    And the 3 items that are 75% done are timely

  Scenario: An item longer than the time until it is due keeps no slot from others
    Given 1 item of 4 s, due in 3 s
    And 2 items of 4 s each, due in 9 s
    When the host gets 1 slot on average
    Then 2 items are timely, and run first

  Scenario: Late items that are nearly done come before those that aren't begun
    Otherwise they would lose their slots again and again, and be given up in the end.

    Given 3 items of 4 s each, due in 1 s
    And 1 item of 4 s that is 75% done, due in 0.5 s
    When the host gets 8 slots on average
    Then 0 items are timely, and run first
    And the items that are 75% done run before the others

  Scenario: The slots are averaged only while items wait
    Given a host whose 2 items ran for 20 s while none waited
    When 6 items run and 3 wait
    Then it counts on 6 slots
    When for 20 s 2 items run and 3 wait
    Then it counts on 2.3 slots

  Scenario: More items end in time than in order of due dates
    Plays a host that gets more items than its slots can run, under bursts of online
    requests, with the same lengths of items in both orders.

    Given a job of 12 items of about 5 s each that comes every 5 s and is due in 18 s
    When they are played for 120 s on 10 slots, of which 8 are taken for 2.4 s of each 6 s
    Then at least 1.2 times as many items end in time as in order of due dates
