Feature: Evacuations and regions as operators write them
  The set of evacuated data centres must be that of the newest copy, whichever way the
  copy came, and a mistake in one entry must not hide another. A revoked evacuation that
  stays in force wastes endpoints; one that is missed sends work there.

  Background:
    Given a host that reads the operators' entries

  Scenario Outline: The newest copy decides
    When it reads "<first>" and then "<second>", by <way>
    Then the data centres "<evacuated>" are evacuated at it

    Examples:
      | first       | second      | evacuated | way       |
      | b@1         | b@1         | b         | copies    |
      | b@1         | b@2         | b         | copies    |
      | b@1         | none        | none      | copies    |
      | a@1, b@2    | b@2         | b         | copies    |
      | none        | a@3, b@3    | a, b      | copies    |
      | b@1         | b@2         | b         | changes   |
      | b@1         | none        | none      | changes   |

  Scenario: A host that compares copies sees an evacuation and its end
    Then the digests of "none", "b@1" and "b@2" differ
    And the digest that it expects of "b@1" is that of the copy it then has

  Scenario Outline: An odd entry stops nothing
    When it reads the entry "<key>" with the value <value> beside an evacuation of "b"
    Then the data centres "<evacuated>" are evacuated at it

    Examples:
      | key              | value      | evacuated |
      | op/evacuate/     | {}         | b         |
      | op/evacuate      | {}         | b         |
      | op/evacuate/a    | {}         | a, b      |
      | op/evacuate/a    | null       | a, b      |
      | op/evacuate/a    | {"x": [1]} | a, b      |
      | op/evacuate/a    | {          | a, b      |
      | op/evacuate/a/b  | {}         | a/b, b    |
      | op/config        | {          | b         |
      | op/retire/h1     | []         | b         |
      | op/other         | {          | b         |

  Scenario Outline: Regions that a route or an account is restricted to
    When it reads a configuration whose <holder> has the allowed_regions <value>
    Then <result>

    Examples:
      | holder  | value         | result                                     |
      | route   | ["north"]     | its holder is restricted to "north"      |
      | account | ["n", "s"]    | its holder is restricted to "n, s"       |
      | route   | []            | its holder is not restricted             |
      | route   | null          | its holder is not restricted             |
      | account | []            | its holder is not restricted             |
      | route   | "north"       | the configuration is not in force          |
      | account | {"north": 1}  | the configuration is not in force          |
      | route   | [1]           | the configuration is not in force          |
      | route   | [null]        | the configuration is not in force          |
      | route   | 0             | the configuration is not in force          |
      | account | false         | the configuration is not in force          |
