Feature: A deployment of the users' sizes answers every request whole
  Six entry hosts in four data centres, six engines of three speeds, four service
  hosts and five client accounts run as processes. Prompts range from a few words to
  a hundred times that; answers are compared byte for byte.

  Scenario Outline: Every request is answered whole with <replicas> control hosts
    Given a deployment of today's sizes with <replicas> control hosts
    When 5 accounts send 240 completions and 60 transfers through all entry hosts
    Then every completion is whole, byte for byte
    And every transfer ran once and was answered

    Examples:
      | replicas |
      | 3        |
      | 5        |
