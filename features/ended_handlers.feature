Feature: A request whose handler ends early gets an answer or a visible cut
  Its error or its cancellation is in the log with the request's id, so that an engineer
  finds out why the caller got what it got.

  Scenario Outline: The caller can tell what became of its request after <end>
    Given a gateway whose handler meets <end>
    When a caller's request to "<path>" meets it
    Then the caller gets <answer> from the gateway
    And the log says "<event>" with "<cause>" and the request's id
    And the log says that its forwarding has ended as "<outcome>"

    Examples:
      | end                                 | path         | answer     | event             | cause       | outcome   |
      | an error before it is sent          | /look-up/x   | status 500 | handler_failed    | ZeroDivisionError | failed    |
      | an error within its answer          | /resumable/x | a cut      | handler_failed    | ZeroDivisionError | failed    |
      | an end while it waits for a slot    | /transfer/x  | status 503 | handler_cancelled | not_run     | cancelled |
      | an end while its upstream works     | /transfer/x  | status 502 | handler_cancelled | may_have_run | cancelled |
      | an end within its answer            | /resumable/x | a cut      | handler_cancelled | may_have_run | cancelled |

  Scenario: An error before the request is decoded is logged with its id
    Given a gateway whose handler meets an error before it is decoded
    When a caller's request to "/look-up/x" meets it
    Then the caller gets status 500 from the gateway
    And the log says "handler_failed" with "ZeroDivisionError" and the request's id
