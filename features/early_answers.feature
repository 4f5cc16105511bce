Feature: An answer without a length is whole only if its upstream ended it in order
  An upstream may answer before it has read the body of a request. One that fails then
  resets the connection, or ends its stream and resets what arrives after that.

  # Guards against a part of an answer that a caller gets as the whole one.
  Scenario Outline: An upstream that fails within a request gives no whole answer: <how>, <bytes> bytes, <route>
    Given a gateway before an upstream that answers early and will "<how>"
    And the connections are <route>
    When a caller sends "/transfer/x" with a body of <bytes> bytes
    Then the caller gets 502
    When a caller sends "/stream/x" with a body of <bytes> bytes
    Then the caller gets a part of the stream, or 502

    Examples: Failures as "early"
      | how           | bytes   | route   |
      | reset_at_once | 200000  | direct  |
      | reset_at_once | 3900000 | direct  |
      | reset_at_once | 3900000 | relayed |
      | end_and_reset | 3900000 | direct  |
      | end_and_reset | 3900000 | relayed |
      | end_and_stall | 3900000 | direct  |

  Scenario Outline: The same on a connection that has been used before: <how>, <route>
    Given a gateway before an upstream that answers early and will "answer,<how>"
    And the connections are <route>
    When a caller sends "/transfer/x" with a body of 1000, then of 3900000 bytes
    Then the caller gets 502
    And upstream "u1" got both on one connection

    Examples: Failures on kept connections as "early kept"
      | how           | route   |
      | reset_at_once | direct  |
      | end_and_reset | direct  |
      | reset_at_once | relayed |
      | end_and_reset | relayed |

  Scenario Outline: A resumed stream is not taken for whole either: <how>
    Given a gateway before an upstream that answers early and will "<how>"
    When a caller sends "/resumable/x" with a body of 3900000 bytes
    Then the caller gets a part of the stream, or 502

    Examples: Failures of resumable streams as "early resumed"
      | how           |
      | reset_at_once |
      | end_and_reset |

  # Guards against a sound answer that is refused, since it came before the body was read.
  Scenario: An answer that ends in order while its request is written is whole
    Given a gateway before an upstream that answers early and will "end_in_order"
    When a caller sends "/transfer/x" with a body of 3900000 bytes
    Then the caller gets 200 with the early body
    When a caller sends "/stream/x" with a body of 3900000 bytes
    Then the caller gets the whole early stream

  Scenario Outline: Over TLS an end within the request is no end of the answer: <how>
    Given an upstream with TLS that answers early and will "<how>"
    When a client sends it 3900000 bytes
    Then the client gets no whole answer

    Examples: Failures over TLS as "early TLS"
      | how           |
      | reset_at_once |
      | end_and_reset |

  # Guards against a status that is none, which a caller would take for an answer.
  Scenario Outline: A status outside of HTTP's is no answer: <status>, <route>
    Given a gateway before an upstream that answers early and will "answer_with_<status>"
    And the connections are <route>
    When a caller sends "/transfer/x" with a body of 10 bytes
    Then the caller gets 502
    When a caller sends "/stream/x" with a body of 10 bytes
    Then the caller gets 502

    Examples: Statuses
      | status | route   |
      | 000    | direct  |
      | 000    | relayed |
      | 099    | direct  |
      | 600    | direct  |
      | 999    | direct  |
      | 999    | relayed |
      | 20     | direct  |
      | 2000   | direct  |

  # The same on the own interface, whose callers are told by a verdict.
  Scenario Outline: On the own interface such a call has no whole answer: <target>, <how>
    Given an upstream of the own interface that answers early and will "<how>"
    When 3900000 bytes of a call to <target> are dispatched to it
    Then the call has ended once, as may_have_run

    Examples: Failures of own calls as "early own"
      | target    | how           |
      | a service | reset_at_once |
      | a service | end_and_reset |
      | a service | end_and_stall |
      | an engine | reset_at_once |
      | an engine | end_and_reset |
      | an engine | end_and_stall |

  Scenario Outline: On the own interface an answer that ends in order is whole: <target>
    Given an upstream of the own interface that answers early and will "end_in_order"
    When 3900000 bytes of a call to <target> are dispatched to it
    Then the call has ended once, as completed

    Examples: Sound own calls
      | target    |
      | a service |
      | an engine |

  Scenario Outline: On the own interface a status outside of HTTP's is no answer: <target>, <status>
    Given an upstream of the own interface that answers early and will "answer_with_<status>"
    When 10 bytes of a call to <target> are dispatched to it
    Then the call has ended as may_have_run and its answer has status 0

    Examples: Statuses of own calls
      | target    | status |
      | a service | 000    |
      | a service | 099    |
      | a service | 600    |
      | a service | 999    |
      | an engine | 000    |
      | an engine | 600    |
      | an engine | 999    |
