Feature: The official openai client works unchanged

  Background:
    Given a platform, an engine in each data centre, and a service
    And a host in each data centre
    And a key of the client account "desk"
    And an openai client of each host

  Scenario: Models, chats and completions
    Then the client lists the model "small" and finds it
    And the client's chat in one piece and its stream have the same 7 tokens
    And the client's stream tells its usage
    And the client's completion has 5 tokens

  Scenario: A batch from upload to output
    When the client uploads 9 items, of which 1 can't succeed, and creates a batch
    Then the client sees the batch completed with 8 of 9 items done, at the other host
    And the client reads one result for each custom id

  Scenario: Refusals are the client's own exceptions
    Then a made-up key raises the client's AuthenticationError
    And an unknown model raises the client's NotFoundError
    And an odd request raises the client's BadRequestError
