Feature: The stand-in upstream behaves like an engine or a service
  Tests and demonstrations rely on it: its answers can be checked byte for byte,
  and its executions can be counted from outside.

  Scenario: All jobs complete within the memory limit
    When any jobs are submitted to the model at any times
    Then each produces exactly its tokens and the memory limit is never exceeded

  Scenario: A prefix is computed once and then cached until it is evicted
    Given an engine model with memory for 350 tokens
    When the same prompt runs twice and then others fill the memory
    Then the second run computes only the tokens that are not cached
    And cache events report the stored and evicted blocks in order

  Scenario: Load and cache events are reported with a lag and with gaps
    Given an engine model with lags of 100 ms that drops each second event
    When three prompts have run
    Then the load and the events are at least as old as the lag, with gaps

  Scenario Outline: An engine answers a <kind> completion byte for byte as expected
    Given a stand-in engine
    When a <kind> completion of 30 tokens is requested
    Then its text is the expected text

    Examples:
      | kind             |
      | plain            |
      | streamed         |
      | plain chat       |
      | streamed chat    |

  Scenario Outline: A stream that was <how> is resumed without a second execution
    Given a stand-in engine
    And its fault cut_after_tokens is 5
    When a streamed completion of 30 tokens is <how> and resumed at its offset
    Then its text is the expected text
    And the run file has 1 dispatch and 1 prefill

    Examples:
      | how       |
      | cut off   |
      | abandoned |

  Scenario: A cancelled request stops and can't be resumed
    Given a stand-in engine
    When a streamed completion of 5000 tokens is cancelled
    Then the engine no longer has it and its stream is cut

  Scenario: A request that is not resumable ends when its caller disconnects
    Given a stand-in engine
    When the caller of a completion of 5000 tokens that is not resumable disconnects
    Then the engine runs nothing

  Scenario: A request moves to another engine with its KV
    Given a stand-in engine
    When a streamed completion of 200 tokens is exported and imported by another engine
    Then its text is the expected text
    And the run file has 1 dispatch and 1 prefill

  Scenario Outline: An order with an old fencing token is <result>
    Given a stand-in engine with honours_fencing = <honours>
    When orders with the fencing tokens 2.1, 1.9 and 2.1 again are sent
    Then the second is <result> and the third is not executed again

    Examples:
      | honours | result   |
      | true    | refused  |
      | false   | accepted |

  Scenario: An answer is dropped after the request was executed
    Given a stand-in engine
    And its fault drops_answer is true
    When a plain completion of 30 tokens is requested
    Then no answer arrives and the request may have run
    And the run file has 1 dispatch and 1 prefill

  Scenario Outline: The fault <fault> delays answers until it is switched off
    Given a stand-in engine
    And its fault <fault> is <value>
    When a plain completion of 30 tokens is requested during the fault
    Then no answer arrives and the request may have run
    And its report arrives unless <fault> is is_hung
    And a completion is answered after the fault is switched off

    Examples:
      | fault       | value |
      | is_hung     | true  |
      | slow_factor | 1000  |

  Scenario: A plain service logs every run
    Given a stand-in service
    When 3 calls with 2 keys are made
    Then the run file has the runs of each key

  Scenario: A body with the crash marker ends the process
    Given the stand-in program as a service with a crash marker
    When a call with the marker is made
    Then it may have run, the run file has its run and the process has exited

  Scenario: After SIGTERM the program reports its shutdown and finishes requests
    Given the stand-in program as an engine
    When it gets SIGTERM during a completion whose stream then breaks
    Then it reports that it is leaving, the answer is complete and it exits with 0

  Scenario: All faults of the settings are reported together
    Given stand-in settings with 4 faults
    When the program is started
    Then it exits with 2 and names section, key, value and reason of each

  Scenario Outline: The stand-in <kind> repeats the request id in its answer to <request>
    Given a stand-in <kind>
    When <request> with a request id is sent to it
    Then its answer carries that request id

    Examples:
      | kind    | request          |
      | engine  | a completion     |
      | engine  | a stream         |
      | engine  | an invalid body  |
      | engine  | an unknown path  |
      | engine  | a report         |
      | engine  | a resume         |
      | service | a call           |
      | service | a report         |
