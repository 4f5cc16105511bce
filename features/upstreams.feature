Feature: Calls to upstreams end with a true verdict
  A call without a complete answer has a verdict on whether the request may have run,
  and the client never sends a request twice.

  Scenario Outline: A call that cannot reach its upstream did not run: <cause>
    When a request is sent to <cause>
    Then it ends with ConnectFailed and verdict not_run

    Examples:
      | cause               |
      | a closed port       |
      | a host name         |
      | a port over 65535   |
      | a full accept queue |

  Scenario Outline: A call that fails after it was sent may have run: <fault>
    Given an upstream that shows <fault>
    When a request is sent and its answer read
    Then it ends with <error> and verdict may_have_run
    And the upstream read exactly 1 request
    And no connection of the client is left

    Examples:
      | fault                        | error            |
      | a close before the answer    | UpstreamDied     |
      | a reset before the answer    | UpstreamDied     |
      | a close within the header    | UpstreamDied     |
      | no answer                    | UpstreamTimedOut |
      | a header sent line by line   | UpstreamTimedOut |
      | endless interim answers      | UpstreamTimedOut |
      | a pause within the body      | UpstreamTimedOut |
      | a cut of a chunked body      | AnswerTruncated  |
      | a cut of a body with a length | AnswerTruncated  |
      | a reset without a body length | AnswerTruncated  |
      | a body over the limit        | AnswerTooLarge   |
      | invalid HTTP                 | AnswerMalformed  |
      | a bad chunk                  | AnswerMalformed  |
      | a header over the limit      | AnswerMalformed  |

  Scenario Outline: An answer without a length over TLS ends only with TLS: <end>
    Given an upstream with a certificate whose answer ends by <end>
    When a request is sent over TLS and its answer read
    Then the body over TLS is <result>

    Examples: Ends
      | end                    | result    |
      | the end of TLS         | complete  |
      | the end of TCP alone   | truncated |
      | a reset                | truncated |

  Scenario Outline: An exported cache must be framed, so that a part is not imported: <framing>
    Given an upstream that exports a cache <framing>
    When the cache of a request is exported
    Then the export is <result>

    Examples: Framings
      | framing           | result    |
      | with a length     | complete  |
      | without a length  | truncated |

  Scenario: A request that cannot be written as HTTP is not sent
    Given an upstream that repeats the body
    When a request with a line break in a header is sent
    Then it ends with InvalidRequest and verdict not_run
    And the upstream read exactly 0 requests

  Scenario: The headers of a caller can be passed on
    Given an upstream that repeats the body
    When a request with the headers of a caller is sent
    Then the upstream sees one Host, one length, no Expect and the other headers

  Scenario: Calls in sequence share a connection
    Given an upstream that repeats the body
    When 5 calls are made in sequence
    Then every answer is correct and 1 connection was accepted

  Scenario: Concurrent calls keep no more idle connections than allowed
    Given an upstream that repeats the body
    When 6 calls are made concurrently by a client that keeps 2 idle
    Then every answer is correct and 6 connections were accepted
    And 2 connections stay idle, and none after the idle timeout

  Scenario Outline: An idle connection is not reused after <event> <moment>
    Given an upstream that repeats the body
    When 2 calls are made with <event> <moment> the second
    Then every answer is correct and 2 connections were accepted
    And the upstream read exactly 2 requests

    Examples:
      | event         | moment       |
      | a quiet close | long before  |
      | a quiet close | right before |
      | stray bytes   | long before  |
      | stray bytes   | right before |

  Scenario: A request is not retried when its reused connection closes
    Given an upstream that closes each connection on its second request
    When 2 calls are made in sequence
    Then the second call failed on a reused connection and may have run
    And the upstream read exactly 2 requests

  Scenario: A slow reader of an answer causes bounded buffering
    Given an upstream that sends 20 megabytes
    When nobody reads the answer until the upstream waits
    Then the client holds no more than its buffer and one read
    And all 20 megabytes can then be read

  Scenario: A late cancellation of an answer does not close the connection of the next call
    Given an upstream that repeats the body
    When an answer is cancelled after the next call began on its connection
    Then the next call still gets its complete answer

  Scenario: A cancelled reader closes its connection
    Given an upstream that stops sending within the body
    When the task that reads the answer is cancelled
    Then no connection of the client is left

  Scenario: An idle connection is reused no longer than the upstream's Keep-Alive timeout
    Given an upstream that keeps idle connections for 2 s
    When it is called twice with a pause of 1200 ms
    Then the second call used a new connection

  Scenario: An idle connection is reused for as long as the upstream's Keep-Alive timeout
    Given an upstream that keeps idle connections for 60 s
    When it is called twice with a pause of 300 ms while the client's own idle timeout is 100 ms
    Then the second call used the same connection
