Feature: A batch job is accepted once, done exactly once, and readable after
  Hosts are killed, paused and cut off, endpoints die, and the platform is
  down, slow or loses answers. Each scenario ends with the same audit.

  Background:
    Given a batch fleet with hosts in two data centres

  Scenario: The accepting host is killed right after its acknowledgement
    Given another batch host "a2" in data centre "a"
    When a batch job of 30 chats, 10 bookings and 3 bad items is accepted by "a1"
    And the batch host "a1" is killed
    Then the batch job completes and passes the audit through "b1"
    And 3 items of the batch job end in its error file

  Scenario: The owner is killed with items running
    Given another batch host "a2" in data centre "a"
    When a batch job of 60 chats, 20 bookings and 0 bad items is accepted by "b1"
    And an owner of the batch job is killed once 5 items are settled
    Then the batch job completes and passes the audit through a host that is left

  Scenario: An endpoint is killed with items running
    When a batch job of 60 chats, 0 bookings and 0 bad items is accepted by "a1"
    And the engine "engine-a" is killed once 5 items are settled
    Then the batch job completes and passes the audit through "b1"

  Scenario: The service drops answers after it has run the calls
    Given the batch service runs the next 4 calls without an answer
    When a batch job of 5 chats, 12 bookings and 0 bad items is accepted by "a1"
    Then the batch job completes and passes the audit through "b1"
    And 4 items of the batch job end as "outcome_unknown"

  Scenario: An owner is paused past its lease and wakes
    Given another batch host "a2" in data centre "a"
    When a batch job of 60 chats, 20 bookings and 0 bad items is accepted by "b1"
    And an owner of the batch job is paused once 5 items are settled
    Then the batch job completes and passes the audit through a host that is left
    When the paused batch host wakes
    Then the batch job passes the audit again and no claim is left

  Scenario: The platform goes down while chunks run
    When a batch job of 60 chats, 20 bookings and 0 bad items is accepted by "a1"
    And the platform goes down once 5 items are settled
    Then a batch submission through "a1" is refused as not executed
    And chats of the batch job go on at the engines
    And an online chat through "b1" is answered
    When the platform comes back
    Then the batch job completes and passes the audit through "b1"

  Scenario: The platform is slow and loses answers all the time
    Given the platform answers after 0.1 s and loses every 5th write's answer
    When a batch job of 40 chats, 10 bookings and 2 bad items is accepted by "a1"
    Then the batch job completes and passes the audit through "b1"

  Scenario: A submission is sent to two hosts at once, and again
    When the same keyed batch submission is sent to "a1" and "b1" at once
    Then all answers name the same batch job
    And the same keyed batch submission with another body is refused with 409
    And the batch job completes and passes the audit through "b1"

  Scenario: A submission whose answer was lost is sent again
    Given the platform loses the answers of the next 1 writes
    When the same keyed batch submission is sent to "a1" and "b1" at once
    Then all answers name the same batch job
    And the batch job completes and passes the audit through "b1"

  Scenario: A cancelled job stops and keeps what is finished
    When a batch job of 200 chats, 40 bookings and 0 bad items is accepted by "a1"
    And the batch job is cancelled through "b1" once 10 items are settled
    Then the batch job ends as "cancelled" with a partial result
    And nothing of the batch job runs any more

  Scenario: A job is cancelled while the platform loses answers
    Given the platform answers after 0.05 s and loses every 5th write's answer
    When a batch job of 200 chats, 40 bookings and 0 bad items is accepted by "a1"
    And the batch job is cancelled through "b1" once 10 items are settled
    Then the batch job ends as "cancelled" with a partial result
    And nothing of the batch job runs any more

  Scenario: An owner is cut off from the platform while another reaches it
    Given a batch host "a3" that reaches the platform through a proxy
    When a batch job of 60 chats with 1000 tokens each is accepted by "a1"
    And the batch host "a3" is cut off from the platform once it owns a chunk
    Then the batch job completes and passes the audit through "b1"
    And batch items were cancelled at the engines
    When the batch host "a3" reaches the platform again
    Then the batch job passes the audit again and no claim is left

  Scenario: An owner is told to end, and hands its chunks over
    Given another batch host "a2" in data centre "a"
    When a batch job of 80 chats, 20 bookings and 0 bad items is accepted by "b1"
    And an owner of the batch job is terminated once 5 items are settled
    Then the batch job completes and passes the audit through a host that is left
    And 0 items of the batch job end as "outcome_unknown"

  Scenario: The only host before a service ends, and comes back after a while
    When a batch job of 80 chats, 20 bookings and 0 bad items is accepted by "b1"
    And the batch host "a1" is terminated once 5 items are settled
    And "b1" has released chunks of which nothing could be started
    And the batch host "a1" is started again
    Then the batch job completes and passes the audit through "b1"
    And 0 items of the batch job end as "outcome_unknown"

  Scenario: Items that no endpoint serves end when they are due, and hold up nothing
    Given the batch model "absent" is in the settings and at no engine
    When 10 batch jobs of 20 items for the model "absent" due in 20 s are accepted
    And a batch job of 30 chats, 5 bookings and 0 bad items is accepted by "a1"
    Then the batch job completes and passes the audit through "b1"
    And the jobs for the absent model end with 200 errors "no_endpoint"

  Scenario: A cancel races completion
    When 6 batch jobs of 4 chats are cancelled around their completion
    Then each batch job ends in one state, and stays in it
