Feature: What comes while a successor is sought decides the attempt
  A slot and a connection take a while. The silent endpoint may answer meanwhile, or
  end the connection.

  Scenario Outline: A silent endpoint <acts> while a successor is sought, its path <path>
    Given a request to an endpoint that is silent, its path <path>
    When the endpoint <acts> while a successor is sought
    Then the attempt ends with <outcome>

    Examples:
      | acts                | path       | outcome          |
      | answers             | direct     | 200              |
      | answers             | not direct | 200              |
      | ends the connection | direct     | HTTPReceiveError |
      | ends the connection | not direct | HTTPReceiveError |
