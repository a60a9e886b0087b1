Feature: A host's process starts with what it needs and ends at once
  What a program leaves to the interpreter's end would be lost.

  Scenario: The last line and the status of a program that ends are not lost
    When a program prints a line without flushing it and returns 7
    Then its line has come and its status is 7

  Scenario: A program that fails tells why, and not that it ended well
    When a program raises an error
    Then its error has come and its status is 1

  Scenario: A host with wrong settings tells them and doesn't start
    When a host's process starts without its settings' file
    Then its status is 2 and it names the file

  Scenario: A host's process imports no settings of the other daemon
    When a host's program is imported in a new interpreter
    Then these modules are not imported
      | module                    |
      | mangogauge.settings.fleet |
      | mangogauge.settings.host  |
      | mangogauge.tls            |
      | google.protobuf           |
      | h2                        |
      | cyclopts                  |
