Feature: A deployment of the users' present size answers every request completely
  Six entry hosts in four data centres, six engines of three speeds, four service
  hosts and five client accounts run as processes. Prompt lengths differ by
  a factor of up to 100; answers are compared byte for byte.

  Scenario Outline: Every request is answered completely with <replicas> control hosts
    Given a deployment of the users' present size with <replicas> control hosts
    When 5 accounts send 240 completions and 60 transfers through all entry hosts
    Then every completion is complete, byte for byte
    And every transfer ran once and was answered

    Examples: Sizes
      | replicas |
      | 3        |
      | 5        |
