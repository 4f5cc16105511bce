Feature: A call to an upstream ends with a true word on whether it may have run
  One dispatch is pumped into an answer. Whatever goes wrong after the request was
  sent, its end never says that it did not run.

  Scenario Outline: An engine that <trouble> ends the call as <verdict>
    Given a faked engine that <trouble>
    When a streamed completion is dispatched to it
    Then the call has ended once, as <verdict>

    Examples:
      | trouble                                         | verdict      |
      | answers whole                                   | completed    |
      | can't be reached                                | not_run      |
      | dies before it answers                          | may_have_run |
      | breaks off and can't be reached any more        | may_have_run |
      | breaks off and does not know the request        | may_have_run |
      | breaks off and goes on where it stopped         | completed    |
      | falls silent                                    | may_have_run |
      | makes the client fail in a way nobody foresaw   | may_have_run |

  Scenario: A stream that is resumed holds each byte once
    Given a faked engine that breaks off and goes on where it stopped
    When a streamed completion is dispatched to it
    Then the answer is the whole stream
