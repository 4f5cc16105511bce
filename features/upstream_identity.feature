Feature: An upstream's answer is believed only if it belongs to its request
  On a kept connection a late or second answer comes in the place of the expected one.
  Upstreams repeat the request's X-Request-Id, so that it can be told apart.

  Scenario Outline: A call to <target> whose answer carries <identity> on a <connection> connection ends as <verdict>
    Given an upstream whose answers carry <identity> on a <connection> connection
    When calls to <target> have used it
    Then the last call has ended as <verdict>

    Examples:
      | target    | identity               | connection | verdict      |
      | an engine | the request's id       | new        | completed    |
      | an engine | the request's id       | kept       | completed    |
      | an engine | the id of another      | new        | may_have_run |
      | an engine | the id of another      | kept       | may_have_run |
      | an engine | no id                  | new        | completed    |
      | an engine | no id                  | kept       | may_have_run |
      | an engine | two ids                | kept       | may_have_run |
      | a service | the request's id       | new        | completed    |
      | a service | the request's id       | kept       | completed    |
      | a service | the id of another      | new        | may_have_run |
      | a service | the id of another      | kept       | may_have_run |
      | a service | no id                  | new        | completed    |
      | a service | no id                  | kept       | may_have_run |
      | a service | two ids                | kept       | may_have_run |

  Scenario: An upstream that repeats no ids gets each call on a new connection
    Given an upstream whose answers carry no id on a new connection
    When 3 calls to a service have used it
    Then all 3 calls have completed on 3 connections

  Scenario: An upstream that repeats the ids gets its calls on one connection
    Given an upstream whose answers carry the request's id on a new connection
    When 3 calls to a service have used it
    Then all 3 calls have completed on 1 connections

  Scenario Outline: A late answer is not taken for that of <call>
    Given an upstream whose answers carry the id of another on a kept connection
    When <call> follows a call to it
    Then <call> fails as malformed

    Examples:
      | call               |
      | a load report      |
      | an order           |
      | a cancellation     |
      | a KV export        |
      | a KV import        |
      | a resumed answer   |
