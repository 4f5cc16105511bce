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
      | it is idle while its host drains                |
      | its answer announced the close                  |
      | its answer began before the drain and has ended |
