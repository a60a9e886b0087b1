Feature: Which chunks a host gives back before they are finished
  Plain classes with a clock moved by hand; no process is started.

  Background:
    Given a host that fills the engine "e" and leaves the service "s" to another host

  Scenario: A chunk is given back because an endpoint fails all its items
    Given a claimed chunk of 3 chats
    When its items are tried for 60 s and all fail
    Then no chunk is given back

  Scenario: A chunk is given back because items of it failed once
    Given a claimed chunk of 3 bookings
    When the host can't connect to "s" and another does
    And its items are tried for 2 s and all fail
    Then no chunk is given back

  Scenario: A chunk of which nothing succeeds is kept though another host could run it
    Given a claimed chunk of 3 bookings
    When the host can't connect to "s" and another does
    And its items are tried for 4 s and all fail
    Then chunk 0 is given back

  Scenario: A chunk is given back while items of it run at a sound endpoint
    Given a claimed chunk of 1 chats and 2 bookings
    When the host can't connect to "s" and another does
    And its items are tried for 4 s and all fail
    And a chat of it runs
    Then no chunk is given back

  Scenario: A chunk is given back for items that have their results
    Given a claimed chunk of 2 chats and 1 bookings
    When the host can't connect to "s" and another does
    And its bookings have results
    And its items are tried for 4 s and all fail
    Then no chunk is given back

  Scenario: Chunks that no other host can run go round
    Given a claimed chunk of 3 chats
    And a claimed chunk of 3 chats
    When nothing can be started for 60 s
    Then no chunk is given back

  Scenario: Chunks that no other host can run hold up other jobs
    Given a claimed chunk of 3 chats
    And a claimed chunk of 3 chats
    When nothing can be started for 60 s
    Then chunk 0 is given back if its place is needed

  Scenario: A chunk of which nothing can be started is kept though another host fills its endpoint
    Given a claimed chunk of 3 bookings
    When nothing can be started for 11 s
    Then chunk 0 is given back

  Scenario: A host keeps a chunk for an endpoint of a data centre that it never reaches
    Given a claimed chunk of 3 bookings
    When the host fills "s" of another data centre, which has no host
    And nothing can be started for 11 s
    Then chunk 0 is given back
