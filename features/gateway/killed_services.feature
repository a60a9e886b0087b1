Feature: A service's answer without a length isn't whole if its process ended with it

  # Guards against the part of an answer being kept or passed on as a whole one (MIXED).
  Scenario Outline: A service is killed within answers, and is back <back>
    Given a host, and a service whose answers have no length
    When 6 callers ask the service, and it is killed within their answers and is back <back>
    Then no caller has an answer that looks whole
    When 6 callers ask the service
    Then each has a whole answer

    Examples:
      | back    |
      | later   |
      | at once |
