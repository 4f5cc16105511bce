Feature: A request that crosses the close of its connection is not read
  A caller whose request crosses the close sees the connection end at once and is reset,
  by which it knows that nothing read its request and that it may send it again.

  Scenario Outline: A request that crosses a close is never read, and is reset at once: <cause>
    Given a server that is about to drain
    When a request crosses the close of its connection, which ends since <cause>
    Then the caller has read the whole answer before it
    And the crossing request was reset within 200 ms, and no handler ran it

    Examples:
      | cause                                           |
      | its idle time is over                           |
      | it is idle while its host drains                |
      | its answer announced the close                  |
      | its answer began before the drain and has ended |
      | the answer that runs announced the close        |

  Scenario Outline: A request behind another one is answered when its host drains: <state>
    Given a server that is about to drain
    When the drain begins while <state>
    Then both requests are answered, and only the last answer announces the close
    And the connection ends without a reset

    Examples:
      | state                                               |
      | the first answer runs and the second request waits  |
      | the second request waits for the first answer's head |

  Scenario Outline: A connection that began before a change of the limits is <result>: <change>
    Given a server whose limit of "<limit>" is <before>
    When the limit becomes <after>, and a caller uses its older connection again <idle> ms later
    Then the connection is <result>

    Examples: Limits as "limit in force"
      | change                 | limit            | before | after | idle | result   |
      | a longer idle time     | idle_timeout_ms  | 120    | 5000  | 400  | served   |
      | a shorter idle time    | idle_timeout_ms  | 5000   | 60    | 400  | served   |
      | the same idle time     | idle_timeout_ms  | 60     | 60    | 400  | closed   |
      | longer bodies          | max_body_bytes   | 2000   | 9000  | 0    | served   |
      | longer headers         | max_header_bytes | 2000   | 9000  | 0    | served   |
      | shorter bodies         | max_body_bytes   | 9000   | 2000  | 0    | refused  |

  Scenario: A caller that leaves within an answer that announces the close is noticed
    Given a server that is about to drain
    When a caller leaves within an answer that announces the close
    Then the handler is told within 500 ms, and no connection is left

  Scenario: A caller that has just connected when idle connections are closed is served
    Given a server that is about to drain
    When a caller connects, idle connections are closed, and it sends its first request
    Then it is answered, and the answer announces the close
    And a connection on which nothing comes is closed within 500 ms
