Feature: A second connection shows whether a server outlives its answers without a length

  # Guards against a part of an answer that is taken for whole since the server is back.
  Scenario Outline: The second connection is open within an answer that comes <seconds> s after another
    Given a server whose answers have no length
    When it is asked once, and again after <seconds> s
    Then a second connection was open while the last answer came, from before its request

    Examples:
      | seconds |
      | 0.5     |
      | 6       |

  Scenario: No second connection is kept to a server whose answers have a length
    Given a server whose answers have a length
    When it is asked once, and again after 0.5 s
    Then it has had one connection at a time
