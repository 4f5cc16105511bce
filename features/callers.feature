Feature: Callers get a clear answer or a clean close
  A caller gets a complete answer, a problem answer with a verdict, or a closed
  connection, whatever it sends; no task of the server is left behind.

  Scenario Outline: A request that breaks the rules of HTTP is refused: <fault>
    Given a server whose handler repeats the body
    When a caller sends a request with <fault>
    Then the answer is a problem with status <status> and verdict not_run
    And the handler ran no request
    And a good request is served afterwards

    Examples:
      | fault                           | status |
      | a broken request line           | 400    |
      | a header without a colon        | 400    |
      | no Host                         | 400    |
      | two lengths                     | 400    |
      | a length and chunks             | 400    |
      | a negative length               | 400    |
      | a length of 30 digits           | 400    |
      | a length over the limit         | 413    |
      | chunks over the limit           | 413    |
      | a bad chunk size                | 400    |
      | very small chunks               | 400    |
      | very long chunk extensions      | 413    |
      | a header over the limit         | 431    |
      | a header of too many lines      | 431    |
      | raw UTF-8 in the target         | 400    |
      | a target without a path         | 400    |
      | a body cut short                | 400    |

  Scenario Outline: A body that is not strict JSON is refused: <fault>
    Given a server whose handler reads JSON
    When a caller sends <fault> as JSON
    Then the answer is a problem with status 400 and verdict not_run

    Examples:
      | fault           |
      | bad UTF-8       |
      | a huge integer  |
      | NaN as a number |
      | deep nesting    |

  Scenario: A request that arrives too slowly is refused with 408
    Given a server with a request_timeout_ms limit of 60 whose handler repeats the body
    When a caller sends half a request and waits
    Then the answer is a problem with status 408 and verdict not_run

  Scenario: An idle connection is closed without an answer
    Given a server with a idle_timeout_ms limit of 40 whose handler repeats the body
    When a caller connects and sends nothing
    Then it reads the end of the stream without any byte

  Scenario: A connection over the limit is refused and does not count towards the limit
    Given a server with a max_connections limit of 1 whose handler repeats the body
    When a caller holds a connection and three others connect
    Then each of the three gets a problem with status 503 and Retry-After
    And the held connection is served, and after its end another one

  Scenario: The total size of request bodies is limited
    Given a server with a max_total_body_bytes limit of 50000 whose handler waits to be released
    When two callers send 30000 bytes each and the first is answered
    Then the second was refused with 503, and a third is served afterwards

  Scenario: Pipelined requests are answered in order
    Given a server whose handler repeats the body
    When a caller sends 50 requests at once
    Then the 50 answers come back in the order of the requests

  Scenario: A request with Expect gets 100 Continue before its body is sent
    Given a server whose handler repeats the body
    When a caller sends a head with Expect and then the body
    Then it reads 100 Continue and then the answer

  Scenario: For a slow reader the server buffers a bounded amount and sends every byte
    Given a server whose handler streams 20 megabytes
    When a caller reads nothing until the handler waits
    Then the handler has written no more than the buffers of both sides hold
    And the caller then reads all bytes in order

  Scenario: A caller that stops reading is disconnected
    Given a server with a write_timeout_ms limit of 80 whose handler streams 20 megabytes
    When a caller reads nothing until the handler waits
    Then the handler gets CallerGone

  Scenario Outline: A disconnect of the caller is detected while its request <state>
    Given a server whose handler waits for the caller to disconnect
    When a caller closes its connection while its request <state>
    Then no task and no connection is left

    Examples:
      | state                   |
      | runs                    |
      | streams                 |
      | is read                 |
      | runs before many others |

  Scenario: A caller that closes just before its answer causes no error
    Given a server whose handler answers when the caller has closed
    When the handler answers
    Then the handler gets no error except CallerGone
    And no task and no connection is left

  Scenario Outline: A truncated stream never looks complete to <version>
    Given a server whose handler truncates its stream
    When a caller reads the stream by <version>
    Then it gets the data and can detect that the stream is truncated

    Examples:
      | version  |
      | HTTP/1.1 |
      | HTTP/1.0 |

  Scenario: A truncated stream over TLS never looks complete to HTTP/1.0
    Given a server with a certificate whose handler truncates its stream
    When a caller reads the stream over TLS by HTTP/1.0
    Then its connection ends without the end of TLS

  Scenario Outline: A handler that fails <when> exposes no internals
    Given a server whose handler fails <when>
    When a caller sends a request
    Then the caller gets <result> and no detail of the cause

    Examples:
      | when              | result             |
      | before its answer | status 500         |
      | within its answer | a truncated stream |
      | by not answering  | status 500         |
      | with a bad header | status 500         |

  Scenario: What a handler writes after the end of its answer is not sent
    Given a server whose handler writes after the end of its answer
    When a caller sends two requests on one connection
    Then both answers are complete and correct

  Scenario: HEAD and empty answers carry no body
    Given a server whose handler repeats the body
    When a caller sends HEAD and then GET on one connection
    Then the answer to HEAD has a length but no body

  Scenario: A drain lets requests finish and still accepts others
    Given a server whose handler waits to be released
    When it is drained while a request runs and another arrives
    Then both are answered with Connection close
    And after the listener is closed nobody can connect

  Scenario: A drain still serves connections that were used right before it
    Given a server whose handler repeats the body
    When it is drained right after a request on a keep-alive connection
    Then a request on that connection is served during the drain

  Scenario: A caller over TLS that asked for the close is not kept waiting for it
    Given a server with a certificate
    When a caller reads an answer over TLS by HTTP/1.0
    Then its connection has ended within 300 ms, with the end of TLS

  Scenario: Callers are served over TLS
    Given a server with a certificate
    When a client that trusts it sends a megabyte
    Then the answer over TLS is the same megabyte
    And a client that does not trust it gets the verdict not_run

  Scenario: Peer processes authenticate each other with certificates
    Given a gRPC server with mutual TLS
    Then a peer with the certificate is answered
    And a peer without a certificate is not answered

  Scenario: Retry-After is given in whole seconds, rounded up
    When a refusal has a retry time of 1200 ms
    Then its Retry-After is 2 and its body has every field
