Feature: The forecast of demand can be turned off at a host
  If it is wrong for a deployment, items must still start in any free slot.

  Scenario Outline: A host that runs items forecasts demand unless its file says no
    When a host's file says "<line>" under [host]
    Then the host <does> online demand

    Examples:
      | line                   | does             |
      | runs_batch = yes       | forecasts        |
      | forecasts_demand = yes | forecasts        |
      | forecasts_demand = no  | doesn't forecast |
