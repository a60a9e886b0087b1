Feature: Regions of data centres in the file of a host on the platform
  Without its region, a data centre gets nothing that is restricted to regions; a file
  that can't be read stops the host.

  Scenario Outline: Lines of data centres and their regions
    Given the file of a host with the regions "<lines>"
    Then it is read as <result>

    Examples:
      | lines                       | result                         |
      |                             | {}                             |
      | a = north; b = EU west      | {"a": "north", "b": "EU west"} |
      | A.1 = north                 | {"A.1": "north"}               |
      | a = x; a = y                | a mistake                      |
      | a =                         | a mistake                      |
      | a                           | a mistake                      |
      | {{#z}}{{@}} = {{.}}; {{/z}} | {}                             |

  Scenario: A file without the section, and a part that is turned off
    Given the file of a host without regions, with "checks_evacuations = no"
    Then it is read as {}
    And evacuations are not checked
