Feature: A call to an upstream ends with a true verdict on whether it may have run
  One dispatch is copied into an answer. After a failure that follows the send, the
  verdict is never not_run.

  Scenario Outline: An engine that <trouble> ends the call as <verdict>
    Given a fake engine that <trouble>
    When a streamed completion is dispatched to it
    Then the call has ended once, as <verdict>

    Examples: Ends of a call
      | trouble                                            | verdict      |
      | answers completely                                 | completed    |
      | can't be reached                                   | not_run      |
      | closes before it answers                           | may_have_run |
      | truncates its answer and can't be reached again    | may_have_run |
      | truncates its answer and does not know the request | may_have_run |
      | truncates its answer and resumes it                | completed    |
      | ends inside an event and can't be reached again    | may_have_run |
      | ends inside an event and resumes it                | completed    |
      | ends without a length before its first event       | may_have_run |
      | times out                                          | may_have_run |
      | causes an unexpected exception in the client       | may_have_run |

  Scenario: A resumed stream contains each byte once
    Given a fake engine that truncates its answer and resumes it
    When a streamed completion is dispatched to it
    Then the answer is the complete stream

  Scenario: A stream that ended inside an event contains each byte once when resumed
    Given a fake engine that ends inside an event and resumes it
    When a streamed completion is dispatched to it
    Then the answer is the complete stream

  Scenario Outline: The status <status> of <target> is passed on only if it promises nothing
    Given an upstream that answers each call with <status>
    When a call to <target> is dispatched to it
    Then the call has ended as <verdict> and its answer has status <passed_on>

    Examples: Statuses that promise that a request did not run
      | target    | status | verdict      | passed_on |
      | an engine | 408    | may_have_run | 0         |
      | an engine | 421    | may_have_run | 0         |
      | an engine | 429    | may_have_run | 0         |
      | an engine | 503    | may_have_run | 0         |
      | a service | 408    | may_have_run | 0         |
      | a service | 421    | may_have_run | 0         |
      | a service | 429    | may_have_run | 0         |
      | a service | 503    | may_have_run | 0         |

    Examples: Other statuses
      | target    | status | verdict      | passed_on |
      | an engine | 404    | completed    | 404       |
      | an engine | 500    | completed    | 500       |
      | a service | 409    | completed    | 409       |
      | a service | 502    | completed    | 502       |

  Scenario Outline: A verdict in the answer of <target> does not look like ours
    Given an upstream that answers each call with 404
    When a call to <target> is dispatched to it
    Then its answer is not of the type of our refusals

    Examples:
      | target    |
      | an engine |
      | a service |

  Scenario Outline: The end of a call says whether its answer has begun: <trouble>
    Given a fake engine that <trouble>
    When a streamed completion is dispatched to it
    Then its end says that the answer has begun: <has_begun>

    Examples:
      | trouble                                         | has_begun |
      | closes before it answers                        | False     |
      | can't be reached                                | False     |
      | truncates its answer and can't be reached again | True      |

  Scenario Outline: An answer that was copied in part is resumed where its copy ended: <size> bytes
    Given an engine that resumes an answer
    When a stream of which <size> bytes were copied is resumed at it
    Then the answer is the complete stream
    And the outcome has the complete stream

    Examples:
      | size |
      | 0    |
      | 5    |
      | 14   |
